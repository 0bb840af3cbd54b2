package org.wigeonferry.core_types;

/**
 * Checks the syntax of identifiers.
 *
 * <p>Stateless and thread safe.
 */
final class IdentifierChecks {
    private static final int MAX_NAME_CHARACTERS = 64;
    private static final int MAX_REQUEST_ID_CHARACTERS = 128;

    private IdentifierChecks() {}

    /**
     * Requires a valid name of a configured object or of a process.
     *
     * @param kind what the name identifies, for the error text
     */
    static void requireName(String kind, String value) {
        require(kind, value, MAX_NAME_CHARACTERS, "[a-z0-9][a-z0-9._-]*");
    }

    /**
     * Requires a valid request id. Callers may choose these ids, so they may be longer than names
     * and have upper-case letters.
     */
    static void requireRequestId(String kind, String value) {
        require(kind, value, MAX_REQUEST_ID_CHARACTERS, "[A-Za-z0-9._:-]+");
    }

    private static void require(String kind, String value, int maxCharacters, String pattern) {
        if (value.length() > maxCharacters) {
            throw new IllegalArgumentException(
                    kind + " identifier is too long; maximum characters: " + maxCharacters);
        }
        if (!value.matches(pattern)) {
            throw new IllegalArgumentException(kind + " identifier must match " + pattern);
        }
    }
}
