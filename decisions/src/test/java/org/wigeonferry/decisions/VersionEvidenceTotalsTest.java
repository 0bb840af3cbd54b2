package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.VersionId;

class VersionEvidenceTotalsTest {
    private static final VersionId VERSION = new VersionId("small-2");
    private static final NodeId OTHER_SENDER = new NodeId("entry-2.1");

    private final VersionEvidenceTotals totals = new VersionEvidenceTotals();

    @Test
    void repeatedReportCountsOnce() {
        totals.onAnswer(VERSION);
        totals.onReport(OTHER_SENDER, VERSION, new VersionEvidence(10, 0, 0, 0));
        totals.onReport(OTHER_SENDER, VERSION, new VersionEvidence(10, 0, 0, 0));
        assertThat(totals.total(VERSION).answers()).isEqualTo(11);
    }

    @Test
    void laterReportReplacesTheEarlierOne() {
        totals.onReport(OTHER_SENDER, VERSION, new VersionEvidence(10, 0, 0, 0));
        totals.onReport(OTHER_SENDER, VERSION, new VersionEvidence(12, 1, 0, 0));
        assertThat(totals.total(VERSION).attempts()).isEqualTo(13);
    }

    @Test
    void ownTotalExcludesReportsOfOtherProcesses() {
        totals.onReport(OTHER_SENDER, VERSION, new VersionEvidence(10, 0, 0, 0));
        totals.onError(VERSION);
        totals.onRating(VERSION, 0.5);
        assertThat(totals.ownTotal(VERSION)).isEqualTo(new VersionEvidence(0, 1, 1, 0.5));
    }

    @Test
    void dropsTheSenderThatReportedLongestAgo() {
        for (int i = 0; i <= VersionEvidenceTotals.MAX_SENDERS; i++) {
            totals.onReport(new NodeId("entry-" + i), VERSION, new VersionEvidence(1, 0, 0, 0));
        }
        assertThat(totals.total(VERSION).answers()).isEqualTo(VersionEvidenceTotals.MAX_SENDERS);
        totals.onReport(new NodeId("entry-new"), VERSION, new VersionEvidence(100, 0, 0, 0));
        assertThat(totals.total(VERSION).answers())
                .isEqualTo(VersionEvidenceTotals.MAX_SENDERS + 99);
    }
}
