package org.wigeonferry.core_types;

/**
 * Identifies one client account.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 64 lower-case letters, digits, dots, dashes and underscores, the first one a
 *     letter or digit
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
