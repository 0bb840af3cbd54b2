package org.wigeonferry.router;

import java.time.Duration;
import java.util.OptionalInt;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.gen.ForwardedLoadMessage;
import org.wigeonferry.routing.AgedLoad;
import org.wigeonferry.routing.ReportedLoad;

/**
 * Encodes and decodes the loads of upstreams that routers forward to each other.
 *
 * <p>Stateless and thread safe.
 */
final class ForwardedLoadMessages {
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int MAX_PACE_PERCENT = 1_000_000;
    private static final int MAX_AGE_MILLIS = 60_000;

    private ForwardedLoadMessages() {}

    static ForwardedLoadMessage encode(AgedLoad aged) {
        ReportedLoad load = aged.load();
        ForwardedLoadMessage message =
                new ForwardedLoadMessage(
                        aged.upstreamKey(),
                        Math.min(MAX_REQUESTS, load.running()),
                        Math.min(MAX_REQUESTS, load.waiting()),
                        Math.min(MAX_REQUESTS, load.slots()),
                        (int) Math.min(MAX_AGE_MILLIS, aged.age().toMillis()));
        load.pacePercent()
                .ifPresent(pace -> message.setPacePercent(Math.min(MAX_PACE_PERCENT, pace)));
        return message;
    }

    /** Decodes a load; throws if a number is out of range. */
    static AgedLoad decode(ForwardedLoadMessage message) throws CodecException {
        OptionalInt pace =
                message.isSetPacePercent()
                        ? OptionalInt.of(check(message.getPacePercent(), MAX_PACE_PERCENT))
                        : OptionalInt.empty();
        ReportedLoad load =
                new ReportedLoad(
                        check(message.getRunning(), MAX_REQUESTS),
                        check(message.getWaiting(), MAX_REQUESTS),
                        check(message.getSlots(), MAX_REQUESTS),
                        pace);
        Duration age = Duration.ofMillis(check(message.getAgeMillis(), MAX_AGE_MILLIS));
        return new AgedLoad(message.getUpstream(), load, age);
    }

    private static int check(int value, int max) throws CodecException {
        return LoadReportMessages.checkRange(value, max);
    }
}
