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
 * Reads the newest revision from the table service now and then.
 *
 * <p>The store counts as heard only once this process holds the revision that the store named.
 * Thread safe; state is touched on the control thread only.
 */
final class StorePoller {
    private static final int MAX_NOTES = 100;

    private final ControlExecutor control;
    private final ControlState state;
    private final TableService table;

    StorePoller(ControlExecutor control, ControlState state, TableService table) {
        this.control = control;
        this.state = state;
        this.table = table;
    }

    /** Begins to poll. */
    void start(Duration period) {
        poll();
        control.scheduleWithFixedDelay(period, this::poll);
    }

    /** Catches up with the store now; false if the store did not answer. */
    CompletableFuture<Boolean> poll() {
        long asked = control.nanoTime();
        return table.read(ConfigRows.HEAD_KEY)
                .thenCompose(
                        read ->
                                control.submit(() -> onHead(read, asked))
                                        .thenCompose(done -> done));
    }

    private CompletableFuture<Boolean> onHead(ReadResult read, long asked) {
        if (!read.serviceAnswered()) {
            return CompletableFuture.completedFuture(false);
        }
        Revision head = read.row().map(ConfigRows::parseRevision).orElse(Revision.NONE);
        return catchUp(head, asked);
    }

    private CompletableFuture<Boolean> catchUp(Revision head, long asked) {
        Revision own = state.catalog().revision();
        if (!own.isBefore(head)) {
            state.freshness().onStoreRead(asked);
            return CompletableFuture.completedFuture(true);
        }
        if (own.equals(Revision.NONE)) {
            return readSnapshot()
                    .thenCompose(
                            risen -> control.submit(() -> scan(head, asked)).thenCompose(d -> d));
        }
        return scan(head, asked);
    }

    private CompletableFuture<Boolean> readSnapshot() {
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

    private CompletableFuture<Boolean> scan(Revision head, long asked) {
        Revision own = state.catalog().revision();
        return table.scan(ConfigRows.NOTE_KEY_PREFIX, ConfigRows.noteKey(own), MAX_NOTES)
                .thenCompose(
                        result ->
                                control.submit(() -> onNotes(result, head, asked))
                                        .thenCompose(done -> done));
    }

    private CompletableFuture<Boolean> onNotes(ScanResult result, Revision head, long asked) {
        if (!result.serviceAnswered()) {
            return CompletableFuture.completedFuture(false);
        }
        List<CommittedNote> notes =
                result.rows().stream().map(row -> ConfigRows.parseNote(row, false)).toList();
        Revision before = state.catalog().revision();
        state.applyNotes(notes);
        boolean stuck = before.equals(state.catalog().revision());
        boolean behind = state.catalog().revision().isBefore(head);
        if (stuck && behind) {
            return CompletableFuture.completedFuture(false);
        }
        return catchUp(head, asked);
    }
}
