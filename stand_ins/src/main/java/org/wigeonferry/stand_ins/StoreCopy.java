package org.wigeonferry.stand_ins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/**
 * All that a store held at one moment.
 *
 * <p>Immutable and thread safe, as rows are not changed once they are written.
 *
 * @param rows rows by table and key
 * @param history changes since {@code oldest}
 * @param version newest version
 * @param oldest version after which the history is complete
 */
public record StoreCopy(
        Map<String, ObjectNode> rows, List<ObjectNode> history, long version, long oldest) {
    public StoreCopy {
        rows = Map.copyOf(rows);
        history = List.copyOf(history);
    }
}
