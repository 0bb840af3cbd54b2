package org.wigeonferry.settings;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.ApiKeyDigest;

/**
 * Reads values of release notes.
 *
 * <p>Every method throws {@link IllegalArgumentException} on a bad value. Stateless and thread
 * safe.
 */
final class NoteValueParsers {
    private static final int MAX_OPERATION_LENGTH = 128;

    private NoteValueParsers() {}

    static String parseOperationId(String text) {
        if (!text.matches("[A-Za-z0-9._:-]+") || text.length() > MAX_OPERATION_LENGTH) {
            throw new IllegalArgumentException("bad operation name");
        }
        return text;
    }

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
            throw new IllegalArgumentException("bad key digest");
        }
        return new ApiKeyDigest(parts[0], parts[1]);
    }

    static boolean parseBoolean(String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("neither true nor false");
        }
        return text.equals("true");
    }

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
