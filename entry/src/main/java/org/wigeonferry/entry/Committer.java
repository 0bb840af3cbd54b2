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
import org.wigeonferry.settings.CatalogRenderer;
import org.wigeonferry.settings.ReleaseNoteApplier;

/**
 * Commits release notes; each note makes one new revision of the configuration.
 *
 * <p>A commit is one transaction on condition that the newest revision has not changed and that the
 * operation has not been committed earlier. If the answer of the table service is lost, the row
 * keyed by the operation id tells whether the note was committed. Thread safe; state is accessed on
 * the control thread only.
 */
final class Committer {
    private static final Logger LOG = LoggerFactory.getLogger(Committer.class);
    private static final int MAX_COMMIT_TRIES = 8;
    private static final int REVISIONS_PER_SNAPSHOT = 128;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration ACCEPTANCE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MAX_PEER_REPORT_AGE = Duration.ofSeconds(30);

    private final ControlExecutor control;
    private final ControlState state;
    private final TableService table;
    private final StorePoller poller;
    private final Runnable notifyPeers;
    private final List<PendingAcceptance> pendingAcceptances = new ArrayList<>();

    Committer(
            ControlExecutor control,
            ControlState state,
            TableService table,
            StorePoller poller,
            Runnable notifyPeers) {
        this.control = control;
        this.state = state;
        this.table = table;
        this.poller = poller;
        this.notifyPeers = notifyPeers;
        state.addRevisionReportListener(this::completeAcceptedCommits);
    }

    /** Checks a note against this process's newest configuration, without committing it. */
    CompletableFuture<CommitResult> dryRun(ReleaseNote note) {
        return control.submit(
                () ->
                        validationFailure(note)
                                .orElseGet(
                                        () ->
                                                CommitResult.of(
                                                        CommitState.CHECKED,
                                                        state.catalog().revision().next(),
                                                        "note is valid")));
    }

    /** Commits a note and waits until it is accepted, up to the acceptance timeout. */
    CompletableFuture<CommitResult> commit(ReleaseNote note) {
        return tryCommit(new CommitRequest(note, Optional.empty()), MAX_COMMIT_TRIES);
    }

    /** Commits a note on the extra condition that a row, such as a lease, has not changed. */
    CompletableFuture<CommitResult> commit(ReleaseNote note, RowCondition extraCondition) {
        return tryCommit(new CommitRequest(note, Optional.of(extraCondition)), MAX_COMMIT_TRIES);
    }

    private CompletableFuture<CommitResult> tryCommit(CommitRequest request, int triesLeft) {
        if (triesLeft == 0) {
            return control.submit(
                    () ->
                            CommitResult.of(
                                    CommitState.UNKNOWN,
                                    state.catalog().revision(),
                                    "outcome unknown; commit the same operation again"));
        }
        return poller.poll()
                .thenCompose(
                        answered ->
                                answered
                                        ? table.read(ConfigRows.HEAD_KEY)
                                        : CompletableFuture.completedFuture(ReadResult.UNANSWERED))
                .thenCompose(
                        head ->
                                control.submit(() -> onHeadRead(request, head, triesLeft))
                                        .thenCompose(result -> result));
    }

    private CompletableFuture<CommitResult> onHeadRead(
            CommitRequest request, ReadResult head, int triesLeft) {
        ReleaseNote note = request.note();
        if (!head.serviceAnswered()) {
            return retryLater(request, triesLeft);
        }
        Revision newest = head.row().map(ConfigRows::parseRevision).orElse(Revision.NONE);
        if (!newest.equals(state.catalog().revision())) {
            return tryCommit(request, triesLeft - 1);
        }
        Optional<CommitResult> invalid = validationFailure(note);
        if (invalid.isPresent()) {
            return findEarlierCommit(note).thenApply(earlier -> earlier.orElse(invalid.get()));
        }
        Revision revision = newest.next();
        return table.transact(newTransaction(request, revision, head.row()))
                .thenCompose(
                        result ->
                                control.submit(() -> onResult(request, revision, result, triesLeft))
                                        .thenCompose(done -> done));
    }

    private TableTransaction newTransaction(
            CommitRequest request, Revision revision, Optional<Row> head) {
        ReleaseNote note = request.note();
        String operationKey = ConfigRows.operationKey(note);
        List<RowCondition> conditions = new ArrayList<>();
        conditions.add(new RowCondition(ConfigRows.HEAD_KEY, head.map(Row::version)));
        conditions.add(new RowCondition(operationKey, Optional.empty()));
        request.extraCondition().ifPresent(conditions::add);
        return new TableTransaction(
                conditions,
                List.of(
                        ConfigRows.headRow(revision),
                        ConfigRows.noteRow(note, revision, System.currentTimeMillis()),
                        new RowPut(operationKey, Long.toString(revision.number()))));
    }

    private CompletableFuture<CommitResult> onResult(
            CommitRequest request, Revision revision, TransactionResult result, int triesLeft) {
        ReleaseNote note = request.note();
        boolean extraConditionFailed =
                request.extraCondition()
                        .filter(condition -> result.failedKeys().contains(condition.key()))
                        .isPresent();
        if (extraConditionFailed) {
            return control.submit(
                    () ->
                            CommitResult.of(
                                    CommitState.CONFLICT,
                                    state.catalog().revision(),
                                    "a row that this commit depends on has changed"));
        }
        return switch (result.outcome()) {
            case APPLIED -> onCommitted(note, revision);
            case REFUSED ->
                    findEarlierCommit(note)
                            .thenCompose(
                                    earlier ->
                                            earlier.isPresent()
                                                    ? CompletableFuture.completedFuture(
                                                            earlier.get())
                                                    : tryCommit(request, triesLeft - 1));
            case UNKNOWN -> retryLater(request, triesLeft);
        };
    }

    private CompletableFuture<CommitResult> retryLater(CommitRequest request, int triesLeft) {
        CompletableFuture<CommitResult> result = new CompletableFuture<>();
        control.schedule(
                RETRY_DELAY,
                () ->
                        tryCommit(request, triesLeft - 1)
                                .whenComplete((value, error) -> complete(result, value, error)));
        return result;
    }

    private static void complete(
            CompletableFuture<CommitResult> target, CommitResult result, Throwable failure) {
        if (failure != null) {
            target.completeExceptionally(failure);
            return;
        }
        target.complete(result);
    }

    /** Returns the result of an earlier commit of the operation; empty if none could be read. */
    private CompletableFuture<Optional<CommitResult>> findEarlierCommit(ReleaseNote note) {
        return table.read(ConfigRows.operationKey(note))
                .thenCompose(
                        read -> {
                            if (read.row().isEmpty()) {
                                return CompletableFuture.completedFuture(Optional.empty());
                            }
                            Revision revision = ConfigRows.parseRevision(read.row().get());
                            return poller.poll()
                                    .thenCompose(
                                            polled ->
                                                    control.submit(() -> awaitAcceptance(revision)))
                                    .thenCompose(result -> result)
                                    .thenApply(Optional::of);
                        });
    }

    /** Returns why the note can't be committed now; empty if it is valid. */
    private Optional<CommitResult> validationFailure(ReleaseNote note) {
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
            ReleaseNoteApplier.apply(catalog, note, catalog.revision().next());
            return Optional.empty();
        } catch (ReleaseNoteException e) {
            return Optional.of(
                    CommitResult.of(CommitState.REJECTED, catalog.revision(), e.getMessage()));
        }
    }

    private CompletableFuture<CommitResult> onCommitted(ReleaseNote note, Revision revision) {
        state.applyNotes(List.of(new CommittedNote(revision, note.text(), false)));
        LOG.atInfo()
                .addKeyValue("revision", revision.number())
                .addKeyValue("author", note.author())
                .addKeyValue("operation", note.operationId())
                .log("release note committed");
        if (revision.number() % REVISIONS_PER_SNAPSHOT == 0) {
            writeSnapshot();
        }
        notifyPeers.run();
        return awaitAcceptance(revision);
    }

    private void writeSnapshot() {
        Catalog catalog = state.catalog();
        CommittedNote snapshot =
                new CommittedNote(catalog.revision(), CatalogRenderer.render(catalog), true);
        table.transact(new TableTransaction(List.of(), List.of(ConfigRows.snapshotRow(snapshot))));
    }

    private CompletableFuture<CommitResult> awaitAcceptance(Revision revision) {
        PendingAcceptance pending = new PendingAcceptance(revision, new CompletableFuture<>());
        pendingAcceptances.add(pending);
        control.schedule(
                ACCEPTANCE_TIMEOUT,
                () -> {
                    pendingAcceptances.remove(pending);
                    pending.result().complete(acceptanceStatus(revision));
                });
        completeAcceptedCommits();
        return pending.result();
    }

    private void completeAcceptedCommits() {
        for (PendingAcceptance pending : List.copyOf(pendingAcceptances)) {
            CommitResult status = acceptanceStatus(pending.revision());
            if (status.state() == CommitState.ACCEPTED) {
                pendingAcceptances.remove(pending);
                pending.result().complete(status);
            }
        }
    }

    /** Tells whether more than half of the zones have a revision; call on the control thread. */
    CommitResult acceptanceStatus(Revision revision) {
        List<PeerRevision> peers = state.peerRevisions(control.nanoTime(), MAX_PEER_REPORT_AGE);
        Set<ZoneId> zones = Acceptance.zonesHolding(state.identity().zone(), peers, revision);
        boolean accepted = Acceptance.isMajority(zones, state.zones());
        return new CommitResult(
                accepted ? CommitState.ACCEPTED : CommitState.COMMITTED,
                revision,
                accepted
                        ? "confirmed by a majority of zones"
                        : "not yet confirmed by a majority of zones",
                zones,
                Acceptance.peersBehind(peers, revision).stream()
                        .map(peer -> peer.peer().node())
                        .toList());
    }
}
