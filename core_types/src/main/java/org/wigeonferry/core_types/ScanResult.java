package org.wigeonferry.core_types;

import java.util.List;

/**
 * What is known of a range of rows.
 *
 * <p>Immutable and thread safe.
 *
 * @param serviceAnswered whether the service answered
 * @param rows rows in the order of their keys
 */
public record ScanResult(boolean serviceAnswered, List<Row> rows) {
    public ScanResult {
        rows = List.copyOf(rows);
    }

    /** No answer came. */
    public static final ScanResult UNANSWERED = new ScanResult(false, List.of());
}
