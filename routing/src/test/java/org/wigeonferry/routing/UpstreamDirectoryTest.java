package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class UpstreamDirectoryTest {
    private static final long SECOND = RoutingFixtures.NANOS_PER_SECOND;

    private final UpstreamDirectory directory =
            new UpstreamDirectory(Duration.ofSeconds(2), service -> Optional.empty());

    @Test
    void removedUpstreamIsGoneAtOnce() {
        directory.put(RoutingFixtures.upstream("a", "desk"), 0);
        directory.remove("a", SECOND);
        assertThat(directory.upstream("a")).isEmpty();
    }

    @Test
    void upstreamThatLapsedInAnOutageIsKeptForTheGrace() {
        directory.put(RoutingFixtures.upstream("a", "desk"), 0);
        directory.onStoreRecovered(SECOND);
        directory.remove("a", SECOND);
        directory.removeExpired(2 * SECOND);
        assertThat(directory.upstream("a")).isPresent();
        directory.removeExpired(3 * SECOND);
        assertThat(directory.upstream("a")).isEmpty();
    }

    @Test
    void upstreamThatComesBackWithinTheGraceStays() {
        directory.put(RoutingFixtures.upstream("a", "desk"), 0);
        directory.onStoreRecovered(SECOND);
        directory.remove("a", SECOND);
        directory.put(RoutingFixtures.upstream("a", "desk"), 2 * SECOND);
        directory.removeExpired(4 * SECOND);
        assertThat(directory.upstream("a")).isPresent();
    }
}
