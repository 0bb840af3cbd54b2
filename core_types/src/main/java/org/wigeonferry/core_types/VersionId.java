package org.wigeonferry.core_types;

/**
 * Identifies one version of a model.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
 */
public record VersionId(String value) {
    public VersionId {

        IdentifierChecks.requireName("model version", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
