package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.Role;

class BillHoldersTest {
    private static final Peer PEER =
            new Peer(
                    new NodeId("entry-2"),
                    Role.ENTRY,
                    new ZoneId("oyo-town"),
                    new HostAddress("127.0.0.1", 1),
                    1,
                    0);

    private final BillHolders holders = new BillHolders();

    @Test
    void durableBillMayBeDropped() {
        holders.onHeld("bill/a/r1", PEER, false);
        holders.onDurable(List.of("bill/a/r1"));
        assertThat(holders.takeDrops(PEER.node())).containsExactly("bill/a/r1");
        assertThat(holders.takeDrops(PEER.node())).isEmpty();
    }

    @Test
    void holdThatIsAnsweredAfterTheWriteMayBeDroppedAtOnce() {
        holders.onDurable(List.of("bill/a/r1"));
        holders.onHeld("bill/a/r1", PEER, true);
        assertThat(holders.takeDrops(PEER.node())).containsExactly("bill/a/r1");
        assertThat(holders.takeOrphans(List.of())).isEmpty();
    }

    @Test
    void billsOfALostHolderAreFoundOnce() {
        holders.onHeld("bill/a/r1", PEER, false);
        assertThat(holders.takeOrphans(List.of(PEER.node()))).isEmpty();
        assertThat(holders.takeOrphans(List.of())).containsExactly("bill/a/r1");
        assertThat(holders.takeOrphans(List.of())).isEmpty();
    }
}
