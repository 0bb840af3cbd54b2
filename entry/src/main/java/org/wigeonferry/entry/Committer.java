package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowCondition;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionResult;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Acceptance;
import org.wigeonferry.decisions.PeerRevision;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.CatalogText;
import org.wigeonferry.settings.Notes;

/**
 * Commits release notes, one revision after another.
 *
 * <p>The commit is one transaction on condition that the newest revision has not changed and that
 * the operation was not committed before. A lost answer is settled by the operation's row. Thread
 * safe; state is touched on the control thread only.
 */
final class Committer {
    private static final Logger LOG = LoggerFactory.getLogger(Committer.class);
    private static final int MAX_TRIES = 8;
    private static final int SNAPSHOT_EVERY = 128;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration ACCEPTANCE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration HOLDER_MAX_AGE = Duration.ofSeconds(30);

    private final ControlExecutor control;
    private final ControlState state;
    private final TableService table;
    private final StorePoller poller;
    private final Runnable tellPeers;
    private final List<PendingAcceptance> waits = new ArrayList<>();

    Committer(
            ControlExecutor control,
            ControlState state,
            TableService table,
            StorePoller poller,
            Runnable tellPeers) {
        this.control = control;
        this.state = state;
        this.table = table;
        this.poller = poller;
        this.tellPeers = tellPeers;
        state.addRevisionReportListener(this::checkWaits);
    }

    /** Checks a note against the newest configuration without committing it. */
    CompletableFuture<CommitResult> dryRun(ReleaseNote note) {
        return control.submit(
                () ->
                        misfit(note)
                                .orElseGet(
                                        () ->
                                                CommitResult.of(
                                                        CommitState.CHECKED,
                                                        state.catalog().revision().next(),
                                                        "note fits")));
    }

    /** Commits a note. */
    CompletableFuture<CommitResult> commit(ReleaseNote note) {
        return attempt(new CommitRequest(note, Optional.empty()), MAX_TRIES);
    }

    /** Commits a note on a further condition, such as a lease that is still held. */
    CompletableFuture<CommitResult> commit(ReleaseNote note, RowCondition condition) {
        return attempt(new CommitRequest(note, Optional.of(condition)), MAX_TRIES);
    }

    private CompletableFuture<CommitResult> attempt(CommitRequest request, int triesLeft) {
        if (triesLeft == 0) {
            return control.submit(
                    () ->
                            CommitResult.of(
                                    CommitState.UNKNOWN,
                                    state.catalog().revision(),
                                    "table service did not answer; commit the same operation again"));
        }
        return poller.poll()
                .thenCompose(
                        heard ->
                                heard
                                        ? table.read(ConfigRows.HEAD_KEY)
                                        : CompletableFuture.completedFuture(ReadResult.UNANSWERED))
                .thenCompose(
                        head ->
                                control.submit(() -> onHead(request, head, triesLeft))
                                        .thenCompose(result -> result));
    }

    private CompletableFuture<CommitResult> onHead(
            CommitRequest request, ReadResult head, int triesLeft) {
        ReleaseNote note = request.note();
        if (!head.serviceAnswered()) {
            return retryLater(request, triesLeft);
        }
        Revision newest = head.row().map(ConfigRows::parseRevision).orElse(Revision.NONE);
        if (!newest.equals(state.catalog().revision())) {
            return attempt(request, triesLeft - 1);
        }
        Optional<CommitResult> misfit = misfit(note);
        if (misfit.isPresent()) {
            return committedBefore(note).thenApply(before -> before.orElse(misfit.get()));
        }
        Revision revision = newest.next();
        return table.transact(transaction(request, revision, head.row()))
                .thenCompose(
                        result ->
                                control.submit(() -> onWrite(request, revision, result, triesLeft))
                                        .thenCompose(done -> done));
    }

    private TableTransaction transaction(
            CommitRequest request, Revision revision, Optional<Row> head) {
        ReleaseNote note = request.note();
        String operation = ConfigRows.operationKey(note);
        List<RowCondition> conditions = new ArrayList<>();
        conditions.add(new RowCondition(ConfigRows.HEAD_KEY, head.map(Row::version)));
        conditions.add(new RowCondition(operation, Optional.empty()));
        request.extraCondition().ifPresent(conditions::add);
        return new TableTransaction(
                conditions,
                List.of(
                        ConfigRows.headRow(revision),
                        ConfigRows.noteRow(note, revision, System.currentTimeMillis()),
                        new RowPut(operation, Long.toString(revision.number()))));
    }

    private CompletableFuture<CommitResult> onWrite(
            CommitRequest request, Revision revision, TransactionResult result, int triesLeft) {
        ReleaseNote note = request.note();
        boolean conditionGone =
                request.extraCondition()
                        .filter(c -> result.failedKeys().contains(c.key()))
                        .isPresent();
        if (conditionGone) {
            return control.submit(
                    () ->
                            CommitResult.of(
                                    CommitState.CONFLICT,
                                    state.catalog().revision(),
                                    "the condition no longer holds"));
        }
        return switch (result.outcome()) {
            case APPLIED -> inForce(note, revision);
            case REFUSED ->
                    committedBefore(note)
                            .thenCompose(
                                    before ->
                                            before.isPresent()
                                                    ? CompletableFuture.completedFuture(
                                                            before.get())
                                                    : attempt(request, triesLeft - 1));
            case UNKNOWN -> retryLater(request, triesLeft);
        };
    }

    private CompletableFuture<CommitResult> retryLater(CommitRequest request, int triesLeft) {
        CompletableFuture<CommitResult> result = new CompletableFuture<>();
        control.schedule(
                RETRY_PAUSE,
                () -> attempt(request, triesLeft - 1).whenComplete((r, f) -> pass(result, r, f)));
        return result;
    }

    private static void pass(
            CompletableFuture<CommitResult> to, CommitResult result, Throwable failure) {
        if (failure != null) {
            to.completeExceptionally(failure);
            return;
        }
        to.complete(result);
    }

    /** Finds the revision of an operation that was committed before, by this try or another. */
    private CompletableFuture<Optional<CommitResult>> committedBefore(ReleaseNote note) {
        return table.read(ConfigRows.operationKey(note))
                .thenCompose(
                        read -> {
                            if (read.row().isEmpty()) {
                                return CompletableFuture.completedFuture(Optional.empty());
                            }
                            Revision revision = ConfigRows.parseRevision(read.row().get());
                            return poller.poll()
                                    .thenCompose(
                                            heard ->
                                                    control.submit(() -> awaitAcceptance(revision)))
                                    .thenCompose(result -> result)
                                    .thenApply(Optional::of);
                        });
    }

    private Optional<CommitResult> misfit(ReleaseNote note) {
        Catalog catalog = state.catalog();
        if (note.baseRevision().isPresent()
                && !note.baseRevision().get().equals(catalog.revision())) {
            return Optional.of(
                    CommitResult.of(
                            CommitState.CONFLICT,
                            catalog.revision(),
                            "note is based on revision " + note.baseRevision().get().number()));
        }
        try {
            Notes.apply(catalog, note, catalog.revision().next());
            return Optional.empty();
        } catch (ReleaseNoteException e) {
            return Optional.of(
                    CommitResult.of(CommitState.REJECTED, catalog.revision(), e.getMessage()));
        }
    }

    private CompletableFuture<CommitResult> inForce(ReleaseNote note, Revision revision) {
        state.applyNotes(List.of(new CommittedNote(revision, note.text(), false)));
        LOG.atInfo()
                .addKeyValue("revision", revision.number())
                .addKeyValue("author", note.author())
                .addKeyValue("operation", note.operationId())
                .log("release note committed");
        if (revision.number() % SNAPSHOT_EVERY == 0) {
            writeSnapshot();
        }
        tellPeers.run();
        return awaitAcceptance(revision);
    }

    private void writeSnapshot() {
        Catalog catalog = state.catalog();
        CommittedNote snapshot =
                new CommittedNote(catalog.revision(), CatalogText.render(catalog), true);
        table.transact(new TableTransaction(List.of(), List.of(ConfigRows.snapshotRow(snapshot))));
    }

    private CompletableFuture<CommitResult> awaitAcceptance(Revision revision) {
        PendingAcceptance wait = new PendingAcceptance(revision, new CompletableFuture<>());
        waits.add(wait);
        control.schedule(
                ACCEPTANCE_TIMEOUT,
                () -> {
                    waits.remove(wait);
                    wait.result().complete(acceptanceStatus(revision));
                });
        checkWaits();
        return wait.result();
    }

    private void checkWaits() {
        for (PendingAcceptance wait : List.copyOf(waits)) {
            CommitResult progress = acceptanceStatus(wait.revision());
            if (progress.state() == CommitState.ACCEPTED) {
                waits.remove(wait);
                wait.result().complete(progress);
            }
        }
    }

    /** How far a revision has come; call on the control thread. */
    CommitResult acceptanceStatus(Revision revision) {
        List<PeerRevision> holders = state.peerRevisions(control.nanoTime(), HOLDER_MAX_AGE);
        Set<ZoneId> zones = Acceptance.zonesHolding(state.identity().zone(), holders, revision);
        boolean accepted = Acceptance.isMajority(zones, state.zones());
        return new CommitResult(
                accepted ? CommitState.ACCEPTED : CommitState.COMMITTED,
                revision,
                accepted ? "held by more than half of the zones" : "held by too few zones yet",
                zones,
                Acceptance.peersBehind(holders, revision).stream()
                        .map(h -> h.peer().node())
                        .toList());
    }
}
