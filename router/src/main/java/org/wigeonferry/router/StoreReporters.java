package org.wigeonferry.router;

/**
 * What a router writes to the store.
 *
 * <p>Immutable and thread safe.
 */
public record StoreReporters(
        RouterReportPublisher routerReports, RollOutReporter rollOuts, TrafficMoveReporter moves) {}
