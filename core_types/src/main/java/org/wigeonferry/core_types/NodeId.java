package org.wigeonferry.core_types;

/**
 * Names one process of this system.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record NodeId(String value) {
    public NodeId {

        IdentifierChecks.requireName("process of this system", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
