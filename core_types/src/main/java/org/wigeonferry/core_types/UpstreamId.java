package org.wigeonferry.core_types;

/**
 * Names one upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record UpstreamId(String value) {
    public UpstreamId {

        IdentifierChecks.requireName("upstream", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
