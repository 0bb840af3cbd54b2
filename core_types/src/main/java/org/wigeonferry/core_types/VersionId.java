package org.wigeonferry.core_types;

/**
 * Names one version of a model.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record VersionId(String value) {
    public VersionId {

        IdentifierChecks.requireName("version of a model", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
