package org.wigeonferry.core_types;

/**
 * Identifies one availability zone; unrelated to {@link java.time.ZoneId}.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
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
