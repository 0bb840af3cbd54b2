package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.VersionId;

class SessionTokensTest {
    private static final AccountId PALACE = new AccountId("palace");
    private static final VersionId SMALL = new VersionId("small-1");

    private final SessionTokens tokens = new SessionTokens("secret");

    @Test
    void idCarriesItsVersion() {
        assertThat(tokens.version(PALACE, tokens.issue(PALACE, SMALL))).contains(SMALL);
    }

    @Test
    void anyEntryWithTheSecretHonoursIt() {
        String issued = new SessionTokens("secret").issue(PALACE, SMALL);
        assertThat(tokens.version(PALACE, issued)).contains(SMALL);
    }

    @Test
    void idOfAnotherAccountIsRefused() {
        String issued = tokens.issue(new AccountId("market"), SMALL);
        assertThat(tokens.version(PALACE, issued)).isEmpty();
    }

    @Test
    void alteredVersionIsRefused() {
        String issued = tokens.issue(PALACE, SMALL);
        assertThat(tokens.version(PALACE, issued.replace("small-1", "large-1"))).isEmpty();
    }

    @Test
    void garbageIsRefused() {
        assertThat(tokens.version(PALACE, "")).isEmpty();
        assertThat(tokens.version(PALACE, "~")).isEmpty();
        assertThat(tokens.version(PALACE, "small-1")).isEmpty();
    }
}
