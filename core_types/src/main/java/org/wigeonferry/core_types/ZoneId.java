package org.wigeonferry.core_types;

/**
 * Names one availability zone.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record ZoneId(String value) {
    public ZoneId {

        IdentifierChecks.requireName("availability zone", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
