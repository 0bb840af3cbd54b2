package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.Role;

class BillCopyTrackerTest {
    private static final Peer PEER =
            new Peer(
                    new NodeId("entry-2"),
                    Role.ENTRY,
                    new ZoneId("oyo-town"),
                    new HostAddress("127.0.0.1", 1),
                    1,
                    0);

    private final BillCopyTracker tracker = new BillCopyTracker();

    @Test
    void copyOfDurableBillIsDroppable() {
        tracker.onCopyStored("bill/a/r1", PEER, false);
        tracker.onBillsDurable(List.of("bill/a/r1"));
        assertThat(tracker.takeDroppableKeys(PEER.node())).containsExactly("bill/a/r1");
        assertThat(tracker.takeDroppableKeys(PEER.node())).isEmpty();
    }

    @Test
    void copyConfirmedAfterBillIsDurableIsDroppableAtOnce() {
        tracker.onBillsDurable(List.of("bill/a/r1"));
        tracker.onCopyStored("bill/a/r1", PEER, true);
        assertThat(tracker.takeDroppableKeys(PEER.node())).containsExactly("bill/a/r1");
        assertThat(tracker.takeKeysOfLostCopies(List.of())).isEmpty();
    }

    @Test
    void keysOfLostCopiesAreReturnedOnce() {
        tracker.onCopyStored("bill/a/r1", PEER, false);
        assertThat(tracker.takeKeysOfLostCopies(List.of(PEER.node()))).isEmpty();
        assertThat(tracker.takeKeysOfLostCopies(List.of())).containsExactly("bill/a/r1");
        assertThat(tracker.takeKeysOfLostCopies(List.of())).isEmpty();
    }
}
