package org.wigeonferry.settings;

import java.util.Optional;

/**
 * A key that a settings file may or must have, with its default and its parser.
 *
 * <p>Immutable and thread safe.
 *
 * @param section section of the settings file
 * @param name name within the section
 * @param valueFormat the valid values, with unit and range, for error texts and documentation
 * @param defaultText text used if the key is absent; if empty, the key is required
 * @param description what the key sets, in one line, for documentation
 * @param parser parses the value
 */
public record SettingKey<T>(
        String section,
        String name,
        String valueFormat,
        Optional<String> defaultText,
        String description,
        SettingParser<T> parser) {
    /** Returns {@code section.name}. */
    public String fullName() {
        return section + "." + name;
    }
}
