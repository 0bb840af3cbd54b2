package org.wigeonferry.settings;

/**
 * Reads the value of a setting from its text.
 *
 * <p>Implementations are stateless and thread safe. They throw {@link IllegalArgumentException} on
 * a bad value.
 */
@FunctionalInterface
public interface SettingParser<T> {
    /** Reads the value. */
    T parse(String text);
}
