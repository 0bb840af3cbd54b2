package org.wigeonferry.decisions;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry when it exceeds its maximum size.
 *
 * <p>Invariant: holds at most {@code maxEntries} entries. Not thread safe.
 */
final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_TABLE_SIZE = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    LruMap(int maxEntries) {
        super(INITIAL_TABLE_SIZE, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
