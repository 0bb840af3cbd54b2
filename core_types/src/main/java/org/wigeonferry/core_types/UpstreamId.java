package org.wigeonferry.core_types;

/**
 * Identifies one upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
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
