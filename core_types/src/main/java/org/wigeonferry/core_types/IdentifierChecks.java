package org.wigeonferry.core_types;

/**
 * Checks the names of the configuration.
 *
 * <p>Stateless and thread safe.
 */
final class IdentifierChecks {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_TOKEN_LENGTH = 128;

    private IdentifierChecks() {}

    static void requireName(String kind, String value) {
        require(kind, value, MAX_NAME_LENGTH, "[a-z0-9][a-z0-9._-]*");
    }

    static void requireRequestId(String kind, String value) {
        require(kind, value, MAX_TOKEN_LENGTH, "[A-Za-z0-9._:-]+");
    }

    private static void require(String kind, String value, int maxLength, String pattern) {
        if (value.length() > maxLength) {
            throw new IllegalArgumentException(kind + " is longer than " + maxLength);
        }
        if (!value.matches(pattern)) {
            throw new IllegalArgumentException(kind + " must match " + pattern);
        }
    }
}
