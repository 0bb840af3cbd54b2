package org.wigeonferry.router;

/**
 * Gives a note to the other entries.
 *
 * <p>Implementations are thread safe and never block; a note that can't be given is logged.
 */
@FunctionalInterface
public interface RouterReportPublisher {
    /** Publishes a note in place of the one before. */
    void publish(RouterReport note);
}
