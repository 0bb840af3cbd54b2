package org.wigeonferry.router;

import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.gen.ForwardedLoadMessage;
import org.wigeonferry.messages.gen.PromptPartMessage;
import org.wigeonferry.messages.gen.RouterLoadMessage;
import org.wigeonferry.messages.gen.SentPromptMessage;
import org.wigeonferry.messages.gen.UpstreamLoadMessage;
import org.wigeonferry.routing.AgedLoad;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.PromptPart;
import org.wigeonferry.routing.SentPrompt;

/**
 * Encodes and decodes the load reports that routers exchange.
 *
 * <p>Stateless and thread safe.
 */
final class LoadReportMessages {
    /** Largest numbers that are taken from a report, so that sums over routers don't overflow. */
    private static final int MAX_TOKENS = 10_000_000;

    private static final int MAX_SENDS = 100_000;

    private LoadReportMessages() {}

    static byte[] encode(LoadReport report) throws CodecException {
        List<UpstreamLoadMessage> loads = new ArrayList<>();
        for (OwnLoad load : report.loads()) {
            loads.add(
                    new UpstreamLoadMessage(
                                    load.upstreamKey(), load.queuedTokens(), load.runningSends())
                            .setHeldTokens(Math.min(MAX_TOKENS, load.heldTokens())));
        }
        List<SentPromptMessage> prompts = new ArrayList<>();
        for (SentPrompt prompt : report.prompts()) {
            prompts.add(encodePrompt(prompt));
        }
        return MessageCodec.encode(
                new RouterLoadMessage(report.router(), report.sequence(), loads, prompts)
                        .setLostUpstreams(report.lostUpstreams())
                        .setForwardedLoads(
                                report.forwardedLoads().stream()
                                        .map(ForwardedLoadMessages::encode)
                                        .toList()));
    }

    /** Decodes a report; throws if it is no report or a number is out of range. */
    static LoadReport decode(byte[] datagram) throws CodecException {
        RouterLoadMessage message = MessageCodec.decode(datagram, new RouterLoadMessage());
        List<OwnLoad> loads = new ArrayList<>();
        for (UpstreamLoadMessage load : message.getLoads()) {
            loads.add(
                    new OwnLoad(
                            load.getUpstream(),
                            checkRange(load.getQueuedTokens(), MAX_TOKENS),
                            checkRange(load.getRunningSends(), MAX_SENDS),
                            checkRange(load.getHeldTokens(), MAX_TOKENS)));
        }
        List<SentPrompt> prompts = new ArrayList<>();
        for (SentPromptMessage prompt : message.getPrompts()) {
            prompts.add(decodePrompt(prompt));
        }
        List<Integer> lostUpstreams =
                message.isSetLostUpstreams() ? message.getLostUpstreams() : List.of();
        List<AgedLoad> forwardedLoads = new ArrayList<>();
        if (message.isSetForwardedLoads()) {
            for (ForwardedLoadMessage load : message.getForwardedLoads()) {
                forwardedLoads.add(ForwardedLoadMessages.decode(load));
            }
        }
        return new LoadReport(
                message.getRouter(),
                message.getSequence(),
                loads,
                prompts,
                lostUpstreams,
                forwardedLoads);
    }

    private static SentPromptMessage encodePrompt(SentPrompt prompt) {
        List<PromptPartMessage> parts = new ArrayList<>();
        for (PromptPart part : prompt.parts()) {
            parts.add(new PromptPartMessage(part.id(), part.tokens()));
        }
        return new SentPromptMessage(prompt.upstreamKey(), prompt.model(), parts);
    }

    private static SentPrompt decodePrompt(SentPromptMessage prompt) throws CodecException {
        List<PromptPart> parts = new ArrayList<>();
        for (PromptPartMessage part : prompt.getParts()) {
            parts.add(new PromptPart(part.getId(), checkRange(part.getTokens(), MAX_TOKENS)));
        }
        return new SentPrompt(prompt.getUpstream(), prompt.getModel(), parts);
    }

    static int checkRange(int value, int max) throws CodecException {
        if (value < 0 || value > max) {
            throw new CodecException(
                    "decode load report", new IllegalArgumentException("out of range: " + value));
        }
        return value;
    }
}
