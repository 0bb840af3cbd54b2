package org.wigeonferry.routing.prediction;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * Predicts the time to the first byte at one upstream, from its learned speed and its pace.
 *
 * <p>Answers the load before engines of different speed: a queue of the same length takes nearly
 * three times as long on one of relative time 1.6 as on one of 0.6. Invariant: the learned speed is
 * within {@link #MAX_RATIO_TO_TYPICAL} of the service's typical one. Owned by the control thread.
 */
public final class UpstreamSpeed {
    /** Responses whose time is odd, or reports that are false, move the speed no further. */
    static final double MAX_RATIO_TO_TYPICAL = 4;

    private static final double MIN_GAIN = 0.1;

    private final ServiceSpeed service;
    private final PaceEstimate pace = new PaceEstimate();
    private LearnedSpeed speed;

    /** Starts with the typical speed of the service. */
    public UpstreamSpeed(ServiceSpeed service) {
        this.service = service;
        speed = service.typical();
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

    /** Expected duration of work now, as a multiple of the usual one. */
    public double pace(long nowNanos) {
        return pace.factor(nowNanos);
    }

    /** Predicted duration of work at a pace, without round trips between zones. */
    public double nanos(double tokens, double rounds, double paceFactor) {
        return speed.nanos(tokens, rounds) * paceFactor;
    }

    /** Predicted time that a token takes at the usual pace. */
    public double tokenNanos() {
        return speed.tokenNanos();
    }

    /** Typical ratio of the error to the predicted time. */
    public double relativeError() {
        return speed.relativeError();
    }

    /** The prediction for work that is sent to the upstream now. */
    public Prediction predict(Work work, Duration roundTrip, long nowNanos) {
        double factor = pace(nowNanos);
        double nanos = nanos(work.tokens(), work.rounds(), factor);
        Duration time = roundTrip.plusNanos((long) nanos);
        return new Prediction(work, factor, roundTrip, time, relativeError());
    }

    /** Learns from the time to the first byte; the work was done at paces up to the present one. */
    public void onFirstByte(Prediction prediction, Duration observed, long nowNanos) {
        double meanPace = (prediction.pace() + pace(nowNanos)) / 2;
        double nanos = observed.minus(prediction.roundTrip()).toNanos() / meanPace;
        if (speed == service.typical()) {
            service.typical().record(prediction.work(), nanos);
            speed = new LearnedSpeed(service.typical(), MIN_GAIN);
        } else {
            service.typical().record(prediction.work(), nanos);
        }
        speed.record(prediction.work(), nanos);
        speed.limitTo(service.typical(), MAX_RATIO_TO_TYPICAL);
    }
}
