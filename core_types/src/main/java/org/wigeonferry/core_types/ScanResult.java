package org.wigeonferry.core_types;

import java.util.List;

/**
 * Result of reading a range of rows from the platform's table service.
 *
 * <p>Immutable and thread safe.
 *
 * @param serviceAnswered whether the table service answered
 * @param rows the rows in the order of their keys; none if the service did not answer
 */
public record ScanResult(boolean serviceAnswered, List<Row> rows) {
    public ScanResult {
        rows = List.copyOf(rows);
    }

    /** Result if the table service did not answer: which rows exist is unknown. */
    public static final ScanResult UNANSWERED = new ScanResult(false, List.of());
}
