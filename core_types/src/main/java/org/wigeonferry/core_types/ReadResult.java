package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * Result of reading one row from the platform's table service.
 *
 * <p>Immutable and thread safe.
 *
 * @param serviceAnswered whether the table service answered
 * @param row the row; empty if it is absent or the service did not answer
 */
public record ReadResult(boolean serviceAnswered, Optional<Row> row) {

    /** Result if the table service did not answer: whether the row exists is unknown. */
    public static final ReadResult UNANSWERED = new ReadResult(false, Optional.empty());
}
