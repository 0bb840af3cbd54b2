package org.wigeonferry.settings;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.ApiKeyDigest;

/**
 * Parses the values of keys in release notes.
 *
 * <p>Every method throws {@link IllegalArgumentException} on a bad value. Stateless and thread
 * safe.
 */
final class NoteValueParsers {
    private static final int MAX_OPERATION_ID_CHARS = 128;

    private NoteValueParsers() {}

    static String parseOperationId(String text) {
        if (!text.matches("[A-Za-z0-9._:-]+") || text.length() > MAX_OPERATION_ID_CHARS) {
            throw new IllegalArgumentException(
                    "operation id must be 1 to 128 letters, digits or ._:- characters");
        }
        return text;
    }

    /** Parses a list separated by commas; {@code parser} parses each element. */
    static <T> Set<T> parseNames(String text, Function<String, T> parser) {
        return SettingKeyFactory.splitAtCommas(text).stream()
                .map(parser)
                .collect(Collectors.toUnmodifiableSet());
    }

    static List<ApiKeyDigest> parseKeyDigests(String text) {
        return SettingKeyFactory.splitAtCommas(text).stream()
                .map(NoteValueParsers::parseKeyDigest)
                .toList();
    }

    static ApiKeyDigest parseKeyDigest(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != 2
                || !parts[0].matches("[0-9a-f]+")
                || !parts[1].matches("[0-9a-f]{64}")) {
            throw new IllegalArgumentException(
                    "key digest must be SALT:DIGEST in lower-case hex, the digest with 64 digits");
        }
        return new ApiKeyDigest(parts[0], parts[1]);
    }

    static boolean parseBoolean(String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("neither true nor false");
        }
        return text.equals("true");
    }

    /** Returns the value that belongs to the text, which must be one of two. */
    static <T> T parseOneOf(String text, String first, T firstValue, String second, T secondValue) {
        if (text.equals(first)) {
            return firstValue;
        }
        if (text.equals(second)) {
            return secondValue;
        }
        throw new IllegalArgumentException("neither " + first + " nor " + second);
    }
}
