package org.wigeonferry.router;

import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.gen.RouterLoadMessage;
import org.wigeonferry.messages.gen.UpstreamLoadMessage;
import org.wigeonferry.routing.OwnLoad;

/**
 * Encodes and decodes the load reports that routers exchange.
 *
 * <p>Stateless and thread safe.
 */
final class LoadReportMessages {
    /**
     * Largest numbers that are taken from a report, so that sums over all routers don't overflow.
     */
    private static final int MAX_TOKENS = 10_000_000;

    private static final int MAX_SENDS = 100_000;

    private LoadReportMessages() {}

    static byte[] encode(LoadReport report) throws CodecException {
        List<UpstreamLoadMessage> loads = new ArrayList<>();
        for (OwnLoad load : report.loads()) {
            loads.add(
                    new UpstreamLoadMessage(
                            load.upstreamKey(), load.queuedTokens(), load.runningSends()));
        }
        return MessageCodec.encode(
                new RouterLoadMessage(report.router(), report.sequence(), loads));
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
                            checkRange(load.getRunningSends(), MAX_SENDS)));
        }
        return new LoadReport(message.getRouter(), message.getSequence(), loads);
    }

    private static int checkRange(int value, int max) throws CodecException {
        if (value < 0 || value > max) {
            throw new CodecException(
                    "decode load report", new IllegalArgumentException("out of range: " + value));
        }
        return value;
    }
}
