package org.wigeonferry.settings;

import java.util.Map;

/**
 * Checked settings of one process.
 *
 * <p>Invariant: holds a valid value for every key it was checked against. Immutable and thread
 * safe.
 */
public final class Settings {
    private final Map<String, String> values;

    Settings(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** The value of a key. */
    public <T> T value(SettingKey<T> key) {
        return key.parser().parse(values.get(key.fullName()));
    }
}
