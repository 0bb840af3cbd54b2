package org.wigeonferry.settings;

import java.util.Optional;

/**
 * One key of the settings.
 *
 * <p>Immutable and thread safe.
 *
 * @param section section of the file
 * @param name name within the section
 * @param valueFormat type, unit and range, as a person reads it
 * @param defaultText value of an absent key; a key without one must be present
 * @param description one line that says what the key sets
 * @param parser reads the value
 */
public record SettingKey<T>(
        String section,
        String name,
        String valueFormat,
        Optional<String> defaultText,
        String description,
        SettingParser<T> parser) {
    /** Name of the key with its section. */
    public String fullName() {
        return section + "." + name;
    }
}
