package org.wigeonferry.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.platform_clients.TableService;

/**
 * Periodically reads the newest revision from the table service, and the release notes that this
 * process lacks.
 *
 * <p>A read counts for the freshness of the configuration only once this process has the revision
 * that it returned. Thread safe; state is accessed on the control thread only.
 */
final class StorePoller {
    private static final int MAX_NOTES_PER_SCAN = 100;

    private final ControlExecutor control;
    private final ControlState state;
    private final TableService table;

    StorePoller(ControlExecutor control, ControlState state, TableService table) {
        this.control = control;
        this.state = state;
        this.table = table;
    }

    /** Polls at once and then periodically. */
    void start(Duration period) {
        poll();
        control.scheduleWithFixedDelay(period, this::poll);
    }

    /**
     * Updates the configuration to the newest revision in the table service; false if the table
     * service did not answer or the notes that it returned could not be applied.
     */
    CompletableFuture<Boolean> poll() {
        long readStartNanos = control.nanoTime();
        return table.read(ConfigRows.HEAD_KEY)
                .thenCompose(
                        read ->
                                control.submit(() -> onHeadRead(read, readStartNanos))
                                        .thenCompose(done -> done));
    }

    private CompletableFuture<Boolean> onHeadRead(ReadResult read, long readStartNanos) {
        if (!read.serviceAnswered()) {
            return CompletableFuture.completedFuture(false);
        }
        Revision head = read.row().map(ConfigRows::parseRevision).orElse(Revision.NONE);
        return updateTo(head, readStartNanos);
    }

    private CompletableFuture<Boolean> updateTo(Revision head, long readStartNanos) {
        Revision ownRevision = state.catalog().revision();
        if (!ownRevision.isBefore(head)) {
            state.freshness().onStoreRead(readStartNanos);
            return CompletableFuture.completedFuture(true);
        }
        if (ownRevision.equals(Revision.NONE)) {
            return applySnapshot()
                    .thenCompose(
                            applied ->
                                    control.submit(() -> scanNotes(head, readStartNanos))
                                            .thenCompose(done -> done));
        }
        return scanNotes(head, readStartNanos);
    }

    private CompletableFuture<Boolean> applySnapshot() {
        return table.read(ConfigRows.SNAPSHOT_KEY)
                .thenCompose(
                        read ->
                                control.submit(
                                        () ->
                                                read.row()
                                                        .map(
                                                                row ->
                                                                        state.applyNotes(
                                                                                List.of(
                                                                                        ConfigRows
                                                                                                .parseNote(
                                                                                                        row,
                                                                                                        true))))
                                                        .orElse(false)));
    }

    private CompletableFuture<Boolean> scanNotes(Revision head, long readStartNanos) {
        Revision ownRevision = state.catalog().revision();
        return table.scan(
                        ConfigRows.NOTE_KEY_PREFIX,
                        ConfigRows.noteKey(ownRevision),
                        MAX_NOTES_PER_SCAN)
                .thenCompose(
                        result ->
                                control.submit(() -> onNotes(result, head, readStartNanos))
                                        .thenCompose(done -> done));
    }

    private CompletableFuture<Boolean> onNotes(
            ScanResult result, Revision head, long readStartNanos) {
        if (!result.serviceAnswered()) {
            return CompletableFuture.completedFuture(false);
        }
        List<CommittedNote> notes =
                result.rows().stream().map(row -> ConfigRows.parseNote(row, false)).toList();
        Revision before = state.catalog().revision();
        state.applyNotes(notes);
        boolean noProgress = before.equals(state.catalog().revision());
        boolean behind = state.catalog().revision().isBefore(head);
        if (noProgress && behind) {
            return CompletableFuture.completedFuture(false);
        }
        return updateTo(head, readStartNanos);
    }
}
