package org.wigeonferry.core_types;

import java.util.List;
import java.util.Optional;

/**
 * Rows written together, on condition of others.
 *
 * <p>Immutable and thread safe.
 *
 * @param conditions all must hold
 * @param puts all are written, or none
 */
public record TableTransaction(List<RowCondition> conditions, List<RowPut> puts) {
    public TableTransaction {
        conditions = List.copyOf(conditions);
        puts = List.copyOf(puts);
    }

    /** Inserts rows, none of which may be there. */
    public static TableTransaction insert(List<RowPut> puts) {
        return new TableTransaction(
                puts.stream().map(put -> new RowCondition(put.key(), Optional.empty())).toList(),
                puts);
    }

    /** Replaces one row that has not changed since it was read. */
    public static TableTransaction replace(Row read, String value) {
        return new TableTransaction(
                List.of(new RowCondition(read.key(), Optional.of(read.version()))),
                List.of(new RowPut(read.key(), value)));
    }
}
