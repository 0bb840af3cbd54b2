package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;

class PeerDirectoryTest {
    private final PeerDirectory directory =
            new PeerDirectory("own", Optional.of(address("north", 1)));

    private static PeerAddress address(String zone, int port) {
        return new PeerAddress(zone, new HostAddress("10.0.0.1", port));
    }

    @Test
    void knowsTheLiveRoutersOfItsZoneButNotItself() {
        directory.onReport("own", Optional.of(address("north", 1)));
        directory.onReport("a", Optional.of(address("north", 2)));
        directory.onReport("b", Optional.of(address("south", 3)));
        directory.onReport("c", Optional.empty());
        assertThat(directory.zonePeers()).containsExactly(new HostAddress("10.0.0.1", 2));
        directory.retain(Set.of("own", "b"));
        assertThat(directory.zonePeers()).isEmpty();
    }

    @Test
    void routerThatComesBackAtAnotherAddressIsFoundThere() {
        directory.onReport("a", Optional.of(address("north", 2)));
        directory.onReport("a", Optional.of(address("north", 9)));
        assertThat(directory.zonePeers()).containsExactly(new HostAddress("10.0.0.1", 9));
    }
}
