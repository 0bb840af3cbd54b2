package org.wigeonferry.core_types;

/**
 * Identifies one non-model service: an HTTP service behind an upstream that runs no model.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
 */
public record ServiceId(String value) {
    public ServiceId {

        IdentifierChecks.requireName("non-model service", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
