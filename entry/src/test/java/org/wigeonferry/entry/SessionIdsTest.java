package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.VersionId;

class SessionIdsTest {
    private static final AccountId ACCOUNT = new AccountId("palace");
    private static final VersionId VERSION = new VersionId("small-1");

    private final SessionIds sessionIds = new SessionIds("secret");

    @Test
    void idContainsItsVersion() {
        assertThat(sessionIds.verifiedVersion(ACCOUNT, sessionIds.issue(ACCOUNT, VERSION)))
                .contains(VERSION);
    }

    @Test
    void anyEntryWithTheSecretAcceptsIt() {
        String issued = new SessionIds("secret").issue(ACCOUNT, VERSION);
        assertThat(sessionIds.verifiedVersion(ACCOUNT, issued)).contains(VERSION);
    }

    @Test
    void idOfAnotherAccountIsRefused() {
        String issued = sessionIds.issue(new AccountId("market"), VERSION);
        assertThat(sessionIds.verifiedVersion(ACCOUNT, issued)).isEmpty();
    }

    @Test
    void alteredVersionIsRefused() {
        String issued = sessionIds.issue(ACCOUNT, VERSION);
        assertThat(sessionIds.verifiedVersion(ACCOUNT, issued.replace("small-1", "large-1")))
                .isEmpty();
    }

    @Test
    void malformedIdIsRefused() {
        assertThat(sessionIds.verifiedVersion(ACCOUNT, "")).isEmpty();
        assertThat(sessionIds.verifiedVersion(ACCOUNT, "~")).isEmpty();
        assertThat(sessionIds.verifiedVersion(ACCOUNT, "small-1")).isEmpty();
    }
}
