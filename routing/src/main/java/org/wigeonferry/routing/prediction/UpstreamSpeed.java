package org.wigeonferry.routing.prediction;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * Predicts the time to the first byte at one upstream, from its learned speed and its pace.
 *
 * <p>Handles the load on engines of different speed: a queue of the same length takes nearly three
 * times as long on one of relative time 1.6 as on one of 0.6. Owned by the control thread.
 */
public final class UpstreamSpeed {
    private final ServiceSpeed service;
    private final PaceEstimate pace = new PaceEstimate();
    private final RelativeTime relativeTime = new RelativeTime();

    /** Starts with the typical speed of the service. */
    public UpstreamSpeed(ServiceSpeed service) {
        this.service = service;
    }

    /** The service that the upstream belongs to. */
    public ServiceSpeed service() {
        return service;
    }

    /**
     * Records a pace that the upstream reported at a time; late and impossible ones are ignored.
     */
    public void recordPace(OptionalInt pacePercent, long observedNanos, long nowNanos) {
        if (pacePercent.isPresent()
                && pace.record(pacePercent.getAsInt(), observedNanos, nowNanos)) {
            service.onPace(observedNanos);
        }
    }

    /** Expected duration of work now, as a multiple of the mean one. */
    public double pace(long nowNanos) {
        return pace.factor(nowNanos);
    }

    /** Ratio of a pace that is reported now to the one that was expected. */
    public double ratioToExpected(int pacePercent, long nowNanos) {
        return pace.relative(pacePercent) / pace.factor(nowNanos);
    }

    /** Predicted duration of work now, without round trips between zones. */
    public double nanos(double tokens, double rounds, long nowNanos) {
        return service.typical().nanos(tokens, rounds)
                * relativeTime.factor(nowNanos)
                * pace.factor(nowNanos);
    }

    /** Predicted time that a token takes at the mean pace. */
    public double tokenNanos(long nowNanos) {
        return service.typical().tokenNanos() * relativeTime.factor(nowNanos);
    }

    /** Typical ratio of the error to the predicted time. */
    public double relativeError() {
        return relativeTime.error();
    }

    /** The prediction for work that is sent to the upstream now. */
    public Prediction predict(Work work, Duration roundTrip, long nowNanos) {
        double factor = pace(nowNanos);
        double nanos = nanos(work.tokens(), work.rounds(), nowNanos);
        Duration time = roundTrip.plusNanos((long) nanos);
        return new Prediction(work, factor, roundTrip, time, relativeError(), service.isKnown());
    }

    /** Learns from the time to the first byte; the work was done at paces up to the present one. */
    public void onFirstByte(Prediction prediction, Duration observed, long nowNanos) {
        double meanPace = (prediction.pace() + pace(nowNanos)) / 2;
        double nanos = observed.minus(prediction.roundTrip()).toNanos() / meanPace;
        Work work = prediction.work();
        double factor = relativeTime.factor(nowNanos);
        service.typical().record(work, nanos / factor);
        double predicted = service.typical().nanos(work.tokens(), work.rounds()) * factor;
        relativeTime.record(Math.max(1, nanos) / predicted, nowNanos);
    }
}
