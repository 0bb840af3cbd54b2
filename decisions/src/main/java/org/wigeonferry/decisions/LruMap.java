package org.wigeonferry.decisions;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that forgets the entry used longest ago once it is full.
 *
 * <p>Invariant: holds at most {@code capacity} entries. Not thread safe.
 */
final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    LruMap(int capacity) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > capacity;
    }
}
