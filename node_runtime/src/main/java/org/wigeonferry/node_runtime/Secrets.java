package org.wigeonferry.node_runtime;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.wigeonferry.core_types.ApiKeyDigest;

/**
 * Digests and compares secrets in constant time.
 *
 * <p>Stateless and thread safe.
 */
public final class Secrets {
    private static final String ALGORITHM = "SHA-256";

    private Secrets() {}

    /** Digest of salt and key, in hexadecimal. */
    public static String saltedDigest(String salt, String key) {
        return HexFormat.of().formatHex(sha256((salt + key).getBytes(StandardCharsets.UTF_8)));
    }

    /** Digest of bytes. */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance(ALGORITHM).digest(bytes);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** Tells whether a key has the digest. */
    public static boolean matchesDigest(ApiKeyDigest expected, String key) {
        return equalInConstantTime(expected.digest(), saltedDigest(expected.salt(), key));
    }

    /** Compares two texts in a time that depends on their length only. */
    public static boolean equalInConstantTime(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }
}
