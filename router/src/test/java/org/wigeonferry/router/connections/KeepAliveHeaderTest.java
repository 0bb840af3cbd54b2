package org.wigeonferry.router.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against odd values of the field, which must not fail a response or extend the time. */
class KeepAliveHeaderTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "timeout=5",
                "timeout=5, max=100",
                "max=9,Timeout = \"5\"",
                "timeout=7,timeout=5"
            })
    void shortestTimeoutCounts(String value) {
        assertThat(KeepAliveHeader.timeout(value)).contains(Duration.ofSeconds(5));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "max=5", "timeout=", "timeout=-1", "timeout=x", "timeout=9999999999"})
    void oddValueAnnouncesNothing(String value) {
        assertThat(KeepAliveHeader.timeout(value)).isEmpty();
    }

    @Test
    void zeroIsATime() {
        assertThat(KeepAliveHeader.timeout("timeout=0")).contains(Duration.ZERO);
    }
}
