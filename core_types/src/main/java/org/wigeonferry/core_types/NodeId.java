package org.wigeonferry.core_types;

/**
 * Identifies one process of the system, either an entry or an agent.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
 */
public record NodeId(String value) {
    public NodeId {

        IdentifierChecks.requireName("entry or agent", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
