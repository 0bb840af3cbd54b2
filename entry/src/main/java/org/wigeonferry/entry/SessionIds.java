package org.wigeonferry.entry;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.node_runtime.Secrets;

/**
 * Issues and verifies session ids. An id contains the version that the session uses, so that any
 * entry accepts it and nothing is stored.
 *
 * <p>An id is bound to its client account and authenticated by HMAC-SHA256. Immutable and thread
 * safe.
 */
final class SessionIds {
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    SessionIds(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), MAC_ALGORITHM);
    }

    /** Creates an id with which the account continues to use this version. */
    String issue(AccountId account, VersionId version) {
        return version + "~" + mac(account + "~" + version);
    }

    /** The version in an id; empty if the id was not issued to this account. */
    Optional<VersionId> verifiedVersion(AccountId account, String sessionId) {
        int separator = sessionId.lastIndexOf('~');
        if (separator < 1) {
            return Optional.empty();
        }
        String version = sessionId.substring(0, separator);
        if (!Secrets.equalInConstantTime(
                sessionId.substring(separator + 1), mac(account + "~" + version))) {
            return Optional.empty();
        }
        return Optional.of(new VersionId(version));
    }

    private String mac(String text) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(key);
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + MAC_ALGORITHM, e);
        }
    }
}
