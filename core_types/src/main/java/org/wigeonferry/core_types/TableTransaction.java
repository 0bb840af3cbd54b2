package org.wigeonferry.core_types;

import java.util.List;
import java.util.Optional;

/**
 * A set of rows to write atomically to the platform's table service if all conditions hold.
 *
 * <p>Immutable and thread safe.
 *
 * @param conditions conditions on the rows to write or on others; all must hold
 * @param puts the rows to write; either all are written or none
 */
public record TableTransaction(List<RowCondition> conditions, List<RowPut> puts) {
    public TableTransaction {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
    }

    /** Returns a transaction that inserts rows; it is refused if one of them exists. */
    public static TableTransaction insert(List<RowPut> puts) {
        return new TableTransaction(
                puts.stream().map(put -> new RowCondition(put.key(), Optional.empty())).toList(),
                puts);
    }

    /**
     * Returns a transaction that replaces a row; it is refused if the row has changed since it was
     * read.
     */
    public static TableTransaction replace(Row expected, String value) {
        return new TableTransaction(
                List.of(new RowCondition(expected.key(), Optional.of(expected.version()))),
                List.of(new RowPut(expected.key(), value)));
    }
}
