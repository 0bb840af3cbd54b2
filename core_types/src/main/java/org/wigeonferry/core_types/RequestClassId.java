package org.wigeonferry.core_types;

/**
 * Identifies one {@link RequestClass}.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
 */
public record RequestClassId(String value) {
    public RequestClassId {

        IdentifierChecks.requireName("request class", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
