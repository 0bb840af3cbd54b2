package org.wigeonferry.core_types;

/**
 * Names one client account.
 *
 * <p>Immutable and thread safe.
 *
 * @param value the name: lower-case letters, digits, dots, dashes, underscores
 */
public record AccountId(String value) {
    public AccountId {

        IdentifierChecks.requireName("client account", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
