package org.wigeonferry.core_types;

/**
 * Names one request class.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
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
