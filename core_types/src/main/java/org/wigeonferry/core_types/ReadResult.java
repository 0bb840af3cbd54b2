package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * What is known of a row.
 *
 * <p>Immutable and thread safe.
 *
 * @param serviceAnswered whether the service answered
 * @param row the row, if it is there
 */
public record ReadResult(boolean serviceAnswered, Optional<Row> row) {

    /** No answer came. */
    public static final ReadResult UNANSWERED = new ReadResult(false, Optional.empty());
}
