package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class UpstreamDirectoryTest {
    private static final long NANOS_PER_SECOND = Fixtures.NANOS_PER_SECOND;

    private final UpstreamDirectory directory =
            new UpstreamDirectory(Duration.ofSeconds(2), service -> Optional.empty());

    @Test
    void removesUpstreamAtOnceWithoutAnOutage() {
        directory.put(Fixtures.upstream("a", "desk"), 0);
        directory.remove("a", NANOS_PER_SECOND);
        assertThat(directory.upstream("a")).isEmpty();
    }

    @Test
    void upstreamRemovedAfterAnOutageIsKeptForTheGracePeriod() {
        directory.put(Fixtures.upstream("a", "desk"), 0);
        directory.onStoreRecovered(NANOS_PER_SECOND);
        directory.remove("a", NANOS_PER_SECOND);
        directory.removeExpired(2 * NANOS_PER_SECOND);
        assertThat(directory.upstream("a")).isPresent();
        directory.removeExpired(3 * NANOS_PER_SECOND);
        assertThat(directory.upstream("a")).isEmpty();
    }

    @Test
    void upstreamThatRegistersAgainWithinTheGracePeriodStays() {
        directory.put(Fixtures.upstream("a", "desk"), 0);
        directory.onStoreRecovered(NANOS_PER_SECOND);
        directory.remove("a", NANOS_PER_SECOND);
        directory.put(Fixtures.upstream("a", "desk"), 2 * NANOS_PER_SECOND);
        directory.removeExpired(4 * NANOS_PER_SECOND);
        assertThat(directory.upstream("a")).isPresent();
    }
}
