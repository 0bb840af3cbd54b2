package org.wigeonferry.settings;

import java.util.Map;

/**
 * The validated settings of one process.
 *
 * <p>Invariant: holds a valid value for every key that was passed to {@link SettingsReader}.
 * Immutable and thread safe.
 */
public final class Settings {
    private final Map<String, String> values;

    Settings(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /**
     * Returns the value of a key that was passed to {@link SettingsReader}; parses it each time.
     */
    public <T> T value(SettingKey<T> key) {
        return key.parser().parse(values.get(key.fullName()));
    }
}
