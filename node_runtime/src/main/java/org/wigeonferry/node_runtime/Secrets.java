package org.wigeonferry.node_runtime;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.wigeonferry.core_types.ApiKeyDigest;

/**
 * Digests secrets and compares them in constant time.
 *
 * <p>Stateless and thread safe.
 */
public final class Secrets {
    private static final String ALGORITHM = "SHA-256";

    private Secrets() {}

    /** The SHA-256 digest of the salt followed by the API key, both in UTF-8, in hexadecimal. */
    public static String saltedDigest(String salt, String apiKey) {
        return HexFormat.of().formatHex(sha256((salt + apiKey).getBytes(StandardCharsets.UTF_8)));
    }

    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance(ALGORITHM).digest(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** Returns whether an API key has the expected digest. */
    public static boolean matchesDigest(ApiKeyDigest expected, String apiKey) {
        return equalInConstantTime(expected.digest(), saltedDigest(expected.salt(), apiKey));
    }

    /** Compares two strings in a time that depends on their lengths only. */
    public static boolean equalInConstantTime(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }
}
