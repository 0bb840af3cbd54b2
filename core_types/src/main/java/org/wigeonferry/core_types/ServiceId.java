package org.wigeonferry.core_types;

/**
 * Names one plain service.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record ServiceId(String value) {
    public ServiceId {

        IdentifierChecks.requireName("plain service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
