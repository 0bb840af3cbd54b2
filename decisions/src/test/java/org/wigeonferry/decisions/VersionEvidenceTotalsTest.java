package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.VersionId;

class VersionEvidenceTotalsTest {
    private static final VersionId VERSION = new VersionId("small-2");
    private static final NodeId OTHER = new NodeId("entry-2.1");

    private final VersionEvidenceTotals board = new VersionEvidenceTotals();

    @Test
    void repeatedReportCountsOnce() {
        board.onAnswer(VERSION);
        board.onReport(OTHER, VERSION, new VersionEvidence(10, 0, 0, 0));
        board.onReport(OTHER, VERSION, new VersionEvidence(10, 0, 0, 0));
        assertThat(board.total(VERSION).answers()).isEqualTo(11);
    }

    @Test
    void laterReportReplacesTheEarlier() {
        board.onReport(OTHER, VERSION, new VersionEvidence(10, 0, 0, 0));
        board.onReport(OTHER, VERSION, new VersionEvidence(12, 1, 0, 0));
        assertThat(board.total(VERSION).attempts()).isEqualTo(13);
    }

    @Test
    void ownEvidenceExcludesOthers() {
        board.onReport(OTHER, VERSION, new VersionEvidence(10, 0, 0, 0));
        board.onError(VERSION);
        board.onRating(VERSION, 0.5);
        assertThat(board.ownTotal(VERSION)).isEqualTo(new VersionEvidence(0, 1, 1, 0.5));
    }

    @Test
    void sendersThatReportedLastAreKept() {
        for (int i = 0; i <= VersionEvidenceTotals.MAX_SENDERS; i++) {
            board.onReport(new NodeId("entry-" + i), VERSION, new VersionEvidence(1, 0, 0, 0));
        }
        assertThat(board.total(VERSION).answers()).isEqualTo(VersionEvidenceTotals.MAX_SENDERS);
        board.onReport(new NodeId("entry-new"), VERSION, new VersionEvidence(100, 0, 0, 0));
        assertThat(board.total(VERSION).answers())
                .isEqualTo(VersionEvidenceTotals.MAX_SENDERS + 99);
    }
}
