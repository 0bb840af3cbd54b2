package org.wigeonferry.router;

/**
 * Publishes this router's report to the other routers.
 *
 * <p>Implementations are thread safe and never block; a report that can't be published is logged.
 */
@FunctionalInterface
public interface RouterReportPublisher {
    /** Publishes a report, which replaces the previous one. */
    void publish(RouterReport report);
}
