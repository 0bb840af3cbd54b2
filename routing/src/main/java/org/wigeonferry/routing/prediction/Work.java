package org.wigeonferry.routing.prediction;

/**
 * The work that an upstream does before the first byte of a response.
 *
 * <p>Immutable and thread safe.
 *
 * @param tokens weighted uncached prompt tokens of the request and of those queued before it
 * @param rounds number of requests that a slot serves up to and including this one, at least 1; not
 *     an integer if the requests before it do not fill all slots
 */
public record Work(double tokens, double rounds) {
    /**
     * Number of requests that a slot serves up to and including the next one.
     *
     * @param requests requests that run or wait at the upstream
     */
    public static double rounds(int requests, int slots) {
        int usableSlots = Math.max(1, slots);
        return 1 + Math.max(0, requests + 1.0 - usableSlots) / usableSlots;
    }
}
