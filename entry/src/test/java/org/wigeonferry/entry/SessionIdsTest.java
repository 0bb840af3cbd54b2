package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.VersionId;

class SessionIdsTest {
    private static final AccountId PALACE = new AccountId("palace");
    private static final VersionId SMALL = new VersionId("small-1");

    private final SessionIds tokens = new SessionIds("secret");

    @Test
    void idCarriesItsVersion() {
        assertThat(tokens.verifiedVersion(PALACE, tokens.issue(PALACE, SMALL))).contains(SMALL);
    }

    @Test
    void anyEntryWithTheSecretHonoursIt() {
        String issued = new SessionIds("secret").issue(PALACE, SMALL);
        assertThat(tokens.verifiedVersion(PALACE, issued)).contains(SMALL);
    }

    @Test
    void idOfAnotherAccountIsRefused() {
        String issued = tokens.issue(new AccountId("market"), SMALL);
        assertThat(tokens.verifiedVersion(PALACE, issued)).isEmpty();
    }

    @Test
    void alteredVersionIsRefused() {
        String issued = tokens.issue(PALACE, SMALL);
        assertThat(tokens.verifiedVersion(PALACE, issued.replace("small-1", "large-1"))).isEmpty();
    }

    @Test
    void garbageIsRefused() {
        assertThat(tokens.verifiedVersion(PALACE, "")).isEmpty();
        assertThat(tokens.verifiedVersion(PALACE, "~")).isEmpty();
        assertThat(tokens.verifiedVersion(PALACE, "small-1")).isEmpty();
    }
}
