package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RequestId;

class BillLedgerTest {
    private static final NodeId OWNER = new NodeId("entry-2.1");

    private final BillLedger ledger = new BillLedger(3);

    @Test
    void billIsInOneWriteAtATime() {
        ledger.add(bill("r1"));
        assertThat(ledger.claimNextBatch(10)).hasSize(1);
        assertThat(ledger.claimNextBatch(10)).isEmpty();
    }

    @Test
    void billWithUnknownWriteOutcomeIsWrittenAgain() {
        ledger.add(bill("r1"));
        ledger.claimNextBatch(10);
        ledger.onWriteOutcomeUnknown(List.of(bill("r1").rowKey()));
        assertThat(ledger.claimNextBatch(10)).hasSize(1);
    }

    @Test
    void storedBillIsRemoved() {
        ledger.add(bill("r1"));
        ledger.onBillsStored(List.of(bill("r1").rowKey()));
        assertThat(ledger.pendingCount()).isZero();
    }

    @Test
    void billAddedTwiceCountsOnce() {
        ledger.add(bill("r1"));
        ledger.add(bill("r1"));
        assertThat(ledger.pendingCount()).isEqualTo(1);
    }

    @Test
    void refusesMoreThanTheMaximumOfOwnBills() {
        assertThat(ledger.add(bill("r1"))).isTrue();
        assertThat(ledger.add(bill("r2"))).isTrue();
        assertThat(ledger.add(bill("r3"))).isTrue();
        assertThat(ledger.add(bill("r4"))).isFalse();
    }

    @Test
    void heldBillsAreDroppedWhenTheirOwnerReportsThemStored() {
        ledger.holdFor(OWNER, List.of(bill("r1"), bill("r2")));
        ledger.dropHeldBills(OWNER, List.of(bill("r1").rowKey()));
        assertThat(ledger.heldCount()).isEqualTo(1);
        ledger.dropHeldBills(OWNER, List.of(bill("r2").rowKey()));
        assertThat(ledger.ownersOfHeldBills()).isEmpty();
    }

    @Test
    void billsTakenOverFromALostOwnerAreWritten() {
        ledger.holdFor(OWNER, List.of(bill("r1")));
        assertThat(ledger.takeOverFrom(OWNER)).isEqualTo(1);
        assertThat(ledger.claimNextBatch(10)).containsExactly(bill("r1"));
        assertThat(ledger.heldCount()).isZero();
    }

    private static Bill bill(String id) {
        return Bill.builder()
                .account(new AccountId("palace"))
                .requestId(new RequestId(id))
                .servedBy("small-1")
                .build();
    }
}
