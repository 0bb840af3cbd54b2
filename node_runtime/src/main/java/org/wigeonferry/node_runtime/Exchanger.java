package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.messages.Codec;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.gen.ExchangeMessage;

/**
 * Exchanges news with peers: one at a time in a steady pace, and several at once on urgent news.
 *
 * <p>State is touched on the control thread only; I/O is asynchronous. Thread safe.
 */
public final class Exchanger {
    /** Path of the exchange on the peer port. */
    public static final String PATH = "/peer/exchange";

    private static final Logger LOG = LoggerFactory.getLogger(Exchanger.class);
    private static final int HOLDER_AGE_TIMEOUTS = 30;

    /** One exchange in so many goes to a seed, so that views that drifted apart meet again. */
    private static final int SEED_EVERY = 8;

    private final ControlExecutor control;
    private final ControlState state;
    private final PeerTransport calls;
    private final List<HostAddress> seeds;
    private final Duration timeout;
    private final PushTargetSelector urgentTargets;
    private final Random random = new Random();
    private int sent;

    /** Exchanges by way of {@code calls}; each waits at most {@code timeout}. */
    public Exchanger(
            ControlExecutor control,
            ControlState state,
            PeerTransport calls,
            List<HostAddress> seeds,
            PushTargetSelector urgentTargets,
            Duration timeout) {
        this.control = control;
        this.state = state;
        this.calls = calls;
        this.seeds =
                seeds.stream().filter(seed -> !seed.equals(state.identity().address())).toList();
        this.urgentTargets = urgentTargets;
        this.timeout = timeout;
    }

    /** Begins the steady pace. */
    public void start(Duration period) {
        control.execute(this::exchangeWithOne);
        control.scheduleWithFixedDelay(period, this::exchangeWithOne);
    }

    /** Answers a peer's message. */
    public CompletableFuture<byte[]> handleMessage(byte[] body) {
        return control.submit(() -> answerOnControl(body));
    }

    /** Tells several peers at once; call on the control thread. Ends when all have answered. */
    public CompletableFuture<Void> pushToPeers() {
        CompletableFuture<?>[] exchanges =
                urgentTargets
                        .select(state.peers(), state.identity().zone(), control.nanoTime())
                        .stream()
                        .map(this::exchange)
                        .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(exchanges);
    }

    /** Exchanges with the process at an address; call on the control thread. */
    public CompletableFuture<Boolean> exchange(HostAddress address) {
        return send(address, Optional.empty(), Revision.NONE);
    }

    private void exchangeWithOne() {
        sent++;
        Optional<Peer> peer = state.peers().pick(p -> true, control.nanoTime());
        boolean seedsTurn = sent % SEED_EVERY == 0 && !seeds.isEmpty();
        if (peer.isPresent() && !seedsTurn) {
            exchange(peer.get());
            return;
        }
        if (!seeds.isEmpty()) {
            exchange(seeds.get(random.nextInt(seeds.size())));
        }
    }

    private CompletableFuture<Boolean> exchange(Peer peer) {
        Revision held =
                state
                        .peerRevisions(
                                control.nanoTime(), timeout.multipliedBy(HOLDER_AGE_TIMEOUTS))
                        .stream()
                        .filter(holder -> holder.peer().node().equals(peer.node()))
                        .map(holder -> holder.revision())
                        .findFirst()
                        .orElse(state.catalog().revision());
        return send(peer.address(), Optional.of(peer.node()), held);
    }

    private CompletableFuture<Boolean> send(
            HostAddress address, Optional<NodeId> node, Revision peerRevision) {
        long asked = control.nanoTime();
        Revision known = node.isEmpty() ? state.catalog().revision() : peerRevision;
        byte[] body;
        try {
            body = Codec.encode(ExchangeMessages.buildMessage(state, known, asked));
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
        return calls.call(address, PATH, body, timeout)
                .handle(
                        (reply, failure) ->
                                control.submit(() -> onReply(address, node, asked, reply, failure)))
                .thenCompose(done -> done);
    }

    private boolean onReply(
            HostAddress address,
            Optional<NodeId> node,
            long asked,
            byte[] reply,
            Throwable failure) {
        if (failure != null) {
            LOG.debug("exchange with {} failed: {}", address, failure.toString());
            node.ifPresent(name -> state.peers().onNoAnswer(name, asked));
            return false;
        }
        try {
            ExchangeMessage message = Codec.decode(reply, new ExchangeMessage());
            ExchangeMessages.applyMessage(state, message, control.nanoTime());
            ExchangeMessages.recordFreshness(state, message, asked);
            return true;
        } catch (CodecException e) {
            LOG.warn("bad exchange from {}", address, e);
            return false;
        }
    }

    private byte[] answerOnControl(byte[] body) {
        try {
            ExchangeMessage message = Codec.decode(body, new ExchangeMessage());
            long now = control.nanoTime();
            Revision before = state.catalog().revision();
            Peer sender = ExchangeMessages.applyMessage(state, message, now);
            if (before.isBefore(state.catalog().revision())) {
                pushToPeers();
            }
            if (state.catalog().revision().number() < message.getRevision()) {
                exchange(sender.address());
            }
            return Codec.encode(
                    ExchangeMessages.buildMessage(state, new Revision(message.getRevision()), now));
        } catch (CodecException e) {
            throw new CompletionException(e);
        }
    }
}
