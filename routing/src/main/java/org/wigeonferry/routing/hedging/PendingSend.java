package org.wigeonferry.routing.hedging;

import java.time.Duration;

/**
 * The first send of a request, whose response has not begun.
 *
 * <p>Immutable and thread safe.
 *
 * @param waited time since the start of the send
 * @param ownWork time that the request's own prompt takes at an idle upstream
 * @param latencyObjective target time from the start of the send to the response or first event
 * @param timeLeft time until the request's deadline
 * @param possibleRuns sends whose upstream may have run the request, this one included
 * @param maxRuns largest number of such sends
 * @param mayNeedAnotherRun whether a response that has begun may have to be continued or replaced
 *     by another run: a stream, or an answer that is dropped for low confidence
 * @param timeHedged time for which sends to the same upstream have been hedged without an answer or
 *     a failure of that upstream
 */
public record PendingSend(
        Duration waited,
        Duration ownWork,
        Duration latencyObjective,
        Duration timeLeft,
        int possibleRuns,
        int maxRuns,
        boolean mayNeedAnotherRun,
        Duration timeHedged) {}
