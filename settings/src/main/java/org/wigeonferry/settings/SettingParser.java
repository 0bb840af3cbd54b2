package org.wigeonferry.settings;

/**
 * Parses the value of a setting from its text.
 *
 * <p>Implementations are stateless and thread safe. They throw {@link IllegalArgumentException} on
 * a bad value.
 */
@FunctionalInterface
public interface SettingParser<T> {
    /**
     * Returns the value.
     *
     * @throws IllegalArgumentException if the text is not a valid value
     */
    T parse(String text);
}
