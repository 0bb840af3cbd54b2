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
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.gen.ExchangeMessage;

/**
 * Exchanges gossip messages with peers: periodically with one peer, and at once with several peers
 * when there is an update to push.
 *
 * <p>State is used on the control thread only; I/O is asynchronous. Thread safe.
 */
public final class Exchanger {
    /** HTTP path of exchange messages at the peer address. */
    public static final String PATH = "/peer/exchange";

    private static final Logger LOG = LoggerFactory.getLogger(Exchanger.class);

    /** Maximum age of a peer's reported revision, as a multiple of the timeout. */
    private static final int REVISION_MAX_AGE_TIMEOUTS = 30;

    /**
     * One periodic exchange in this many goes to a seed, so that groups of processes that no longer
     * know each other find each other again.
     */
    private static final int EXCHANGES_PER_SEED_EXCHANGE = 8;

    private final ControlExecutor control;
    private final ControlState state;
    private final PeerTransport transport;
    private final List<HostAddress> seeds;
    private final Duration timeout;
    private final PushTargetSelector pushTargets;
    private final Random random = new Random();
    private int periodicExchanges;

    /** Sends exchanges by {@code transport}; each fails after {@code timeout}. */
    public Exchanger(
            ControlExecutor control,
            ControlState state,
            PeerTransport transport,
            List<HostAddress> seeds,
            PushTargetSelector pushTargets,
            Duration timeout) {
        this.control = control;
        this.state = state;
        this.transport = transport;
        this.seeds =
                seeds.stream().filter(seed -> !seed.equals(state.identity().address())).toList();
        this.pushTargets = pushTargets;
        this.timeout = timeout;
    }

    /** Exchanges with one peer at once and then with one peer in every period. */
    public void start(Duration period) {
        control.execute(this::exchangeWithOnePeer);
        control.scheduleWithFixedDelay(period, this::exchangeWithOnePeer);
    }

    /** Applies a message from a peer and returns the encoded reply. */
    public CompletableFuture<byte[]> handleMessage(byte[] body) {
        return control.submit(() -> handleOnControlThread(body));
    }

    /**
     * Exchanges with all push targets at once; call on the control thread. The future completes
     * when every exchange has succeeded or failed.
     */
    public CompletableFuture<Void> pushToPeers() {
        CompletableFuture<?>[] exchanges =
                pushTargets
                        .select(state.peers(), state.identity().zone(), control.nanoTime())
                        .stream()
                        .map(this::exchange)
                        .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(exchanges);
    }

    /**
     * Exchanges with the process at an address; call on the control thread. The result is true if
     * it sent a valid reply.
     */
    public CompletableFuture<Boolean> exchange(HostAddress address) {
        return send(address, Optional.empty(), Revision.NONE);
    }

    private void exchangeWithOnePeer() {
        periodicExchanges++;
        Optional<Peer> peer = state.peers().pick(p -> true, control.nanoTime());
        boolean seedIsDue =
                periodicExchanges % EXCHANGES_PER_SEED_EXCHANGE == 0 && !seeds.isEmpty();
        if (peer.isPresent() && !seedIsDue) {
            exchange(peer.get());
            return;
        }
        if (!seeds.isEmpty()) {
            exchange(seeds.get(random.nextInt(seeds.size())));
        }
    }

    private CompletableFuture<Boolean> exchange(Peer peer) {
        Revision lastReported =
                state
                        .peerRevisions(
                                control.nanoTime(), timeout.multipliedBy(REVISION_MAX_AGE_TIMEOUTS))
                        .stream()
                        .filter(known -> known.peer().node().equals(peer.node()))
                        .map(known -> known.revision())
                        .findFirst()
                        .orElse(state.catalog().revision());
        return send(peer.address(), Optional.of(peer.node()), lastReported);
    }

    private CompletableFuture<Boolean> send(
            HostAddress address, Optional<NodeId> node, Revision peerRevision) {
        long sentNanos = control.nanoTime();
        Revision assumedRevision = node.isEmpty() ? state.catalog().revision() : peerRevision;
        byte[] body;
        try {
            body =
                    MessageCodec.encode(
                            ExchangeMessages.buildMessage(state, assumedRevision, sentNanos));
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
        return transport
                .call(address, PATH, body, timeout)
                .handle(
                        (reply, failure) ->
                                control.submit(
                                        () -> onReply(address, node, sentNanos, reply, failure)))
                .thenCompose(result -> result);
    }

    private boolean onReply(
            HostAddress address,
            Optional<NodeId> node,
            long sentNanos,
            byte[] reply,
            Throwable failure) {
        if (failure != null) {
            LOG.debug("exchange with {} failed: {}", address, failure.toString());
            node.ifPresent(name -> state.peers().onNoAnswer(name, sentNanos));
            return false;
        }
        try {
            ExchangeMessage message = MessageCodec.decode(reply, new ExchangeMessage());
            ExchangeMessages.applyMessage(state, message, control.nanoTime());
            ExchangeMessages.recordFreshness(state, message, sentNanos);
            return true;
        } catch (CodecException e) {
            LOG.warn("bad exchange from {}", address, e);
            return false;
        }
    }

    private byte[] handleOnControlThread(byte[] body) {
        try {
            ExchangeMessage message = MessageCodec.decode(body, new ExchangeMessage());
            long nowNanos = control.nanoTime();
            Revision revisionBefore = state.catalog().revision();
            Peer sender = ExchangeMessages.applyMessage(state, message, nowNanos);
            if (revisionBefore.isBefore(state.catalog().revision())) {
                pushToPeers(); // best effort: later exchanges reach the peers that this misses
            }
            if (state.catalog().revision().number() < message.getRevision()) {
                exchange(sender.address());
            }
            return MessageCodec.encode(
                    ExchangeMessages.buildMessage(
                            state, new Revision(message.getRevision()), nowNanos));
        } catch (CodecException e) {
            throw new CompletionException(e);
        }
    }
}
