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
 * Issues session ids that carry their version, so that any entry honours them and nothing is
 * stored.
 *
 * <p>An id is bound to its client account and authenticated by HMAC-SHA256. Immutable and thread
 * safe.
 */
final class SessionIds {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    SessionIds(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Issues an id. */
    String issue(AccountId account, VersionId version) {
        return version + "~" + mac(account + "~" + version);
    }

    /** The version of an id; empty if the id was not issued to this account. */
    Optional<VersionId> verifiedVersion(AccountId account, String token) {
        int split = token.lastIndexOf('~');
        if (split < 1) {
            return Optional.empty();
        }
        String version = token.substring(0, split);
        if (!Secrets.equalInConstantTime(
                token.substring(split + 1), mac(account + "~" + version))) {
            return Optional.empty();
        }
        return Optional.of(new VersionId(version));
    }

    private String mac(String text) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
