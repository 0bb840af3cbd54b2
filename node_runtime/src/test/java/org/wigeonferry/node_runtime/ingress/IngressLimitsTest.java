package org.wigeonferry.node_runtime.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against limits that do not protect the process (more connections than descriptors, bytes
 * beyond the budget) and against limits that a single caller within the page's limits reaches.
 */
class IngressLimitsTest {
    private static final long SMALLEST_HEAP_BYTES = 163L << 20;
    private static final int SMALLEST_DESCRIPTORS = 3075;
    private static final int LARGEST_BODY_BYTES = 4 << 20;
    private static final int LARGEST_HEAD_BYTES = 16 << 10;
    private static final int SHORTEST_FIELD_BYTES = 4;

    private static final IngressLimits DEFAULTS = IngressKeys.defaultLimits();

    @Test
    void connectionsLeaveMostOfTheDescriptors() {
        assertThat(DEFAULTS.withDescriptors(600).connections()).isEqualTo(200);
        assertThat(DEFAULTS.withDescriptors(SMALLEST_DESCRIPTORS).connections())
                .isLessThanOrEqualTo(SMALLEST_DESCRIPTORS / 3);
    }

    /** A body that grows is held twice for a moment. */
    @Test
    void oneLargestRequestFits() {
        int fields = LARGEST_HEAD_BYTES / SHORTEST_FIELD_BYTES;
        long head = fields * HeadLimits.fieldBytes(SHORTEST_FIELD_BYTES);
        assertThat(DEFAULTS.headerFields()).isGreaterThanOrEqualTo(fields);
        assertThat(IngressLimits.shareOfHeap(SMALLEST_HEAP_BYTES, 25))
                .isGreaterThan(head + 2L * LARGEST_BODY_BYTES);
    }

    @Test
    void budgetNeverExceedsItsLimit() {
        ByteBudget budget = new ByteBudget(100);
        assertThat(budget.tryReserve(60)).isTrue();
        assertThat(budget.tryReserve(41)).isFalse();
        assertThat(budget.reservedBytes()).isEqualTo(60);
        assertThat(budget.isUnderPressure()).isTrue();
        budget.release(20);
        assertThat(budget.isUnderPressure()).isFalse();
        assertThat(budget.tryReserve(60)).isTrue();
    }

    @Test
    void headLimitsAllowExactlyTheirNumbers() {
        HeadLimits limits = new HeadLimits(10, 5);
        assertThat(limits.allowsFields(10)).isTrue();
        assertThat(limits.allowsFields(11)).isFalse();
        assertThat(limits.allowsPipelined(5)).isTrue();
        assertThat(limits.allowsPipelined(6)).isFalse();
    }
}
