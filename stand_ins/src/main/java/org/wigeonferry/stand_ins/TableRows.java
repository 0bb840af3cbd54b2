package org.wigeonferry.stand_ins;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowCondition;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;

/**
 * Rows of a stand-in table service.
 *
 * <p>Thread safe: every method holds the lock of this object.
 */
public final class TableRows {
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version;

    /** Writes all rows if all conditions hold; returns the keys whose condition doesn't. */
    public synchronized List<String> transact(TableTransaction transaction) {
        List<String> failed = new ArrayList<>();
        for (RowCondition condition : transaction.conditions()) {
            Optional<Long> actual =
                    Optional.ofNullable(rows.get(condition.key())).map(Row::version);
            if (!actual.equals(condition.version())) {
                failed.add(condition.key());
            }
        }
        if (!failed.isEmpty()) {
            return failed;
        }
        version++;
        for (RowPut put : transaction.puts()) {
            rows.put(put.key(), new Row(put.key(), put.value(), version));
        }
        return failed;
    }

    /** Reads a row. */
    public synchronized Optional<Row> read(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    /** Reads rows in the order of their keys. */
    public synchronized List<Row> scan(String prefix, String after, int limit) {
        String from = after.compareTo(prefix) > 0 ? after : prefix;
        boolean inclusive = from.equals(prefix) && !after.equals(prefix);
        return rows.tailMap(from, inclusive).values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }
}
