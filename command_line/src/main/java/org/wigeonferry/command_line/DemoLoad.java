package org.wigeonferry.command_line;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Sends a mixed load at a steady pace.
 *
 * <p>Thread safe.
 */
public final class DemoLoad {
    private static final int MAX_RESENDS = 3;
    private static final int RESENT_BOOKINGS_PERCENT = 20;

    private final DemoCaller caller;
    private final List<DemoEntry> entries;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final ConcurrentLinkedQueue<CompletableFuture<DemoOutcome>> sent =
            new ConcurrentLinkedQueue<>();
    private ScheduledFuture<?> pace;
    private int number;

    /** Sends to all entries in turn; the seed decides the mix. */
    public DemoLoad(
            DemoCaller caller, List<DemoEntry> entries, ScheduledExecutorService timer, long seed) {
        this.caller = caller;
        this.entries = List.copyOf(entries);
        this.timer = timer;
        this.random = new Random(seed);
    }

    /** Begins to send. */
    public void start(Duration pause) {
        pace = timer.scheduleAtFixedRate(this::sendOne, 0, pause.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Stops sending; the future gives all outcomes once the last came. */
    public CompletableFuture<List<DemoOutcome>> finish() {
        pace.cancel(false);
        List<CompletableFuture<DemoOutcome>> all = new ArrayList<>(sent);
        return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> all.stream().map(CompletableFuture::join).toList());
    }

    /** Number of requests sent so far. */
    public IntSupplier count() {
        return sent::size;
    }

    private void sendOne() {
        number++;
        DemoEntry entry = entries.get(number % entries.size());
        String account = DemoNotes.ACCOUNTS.get(random.nextInt(DemoNotes.ACCOUNTS.size()));
        int dice = random.nextInt(100);
        String id = "demo-" + number;
        String prompt = "draft a proclamation " + random.nextInt();
        if (dice < 45) {
            sent.add(caller.chat(entry, account, DemoKind.DRAFT, id, "auto", prompt));
        } else if (dice < 70) {
            sent.add(caller.chat(entry, account, DemoKind.STREAM, id, "auto", prompt));
        } else if (dice < 90) {
            sent.add(book(entry, account, id));
        } else if (dice < 97) {
            sent.add(caller.lookUp(entry, account, id));
        } else {
            sent.add(
                    caller.chat(
                            entry, account, DemoKind.FORBIDDEN, id, DemoNotes.FORBIDDEN, prompt));
        }
    }

    private CompletableFuture<DemoOutcome> book(DemoEntry entry, String account, String id) {
        String body = "{\"crier\":\"" + id + "\"}";
        boolean resend = random.nextInt(100) < RESENT_BOOKINGS_PERCENT;
        CompletableFuture<DemoOutcome> first = caller.book(entry, account, id, body);
        CompletableFuture<DemoOutcome> settled =
                first.thenCompose(outcome -> settle(outcome, account, id, body, MAX_RESENDS));
        if (!resend) {
            return settled;
        }
        return caller.book(other(entry), account, id, body)
                .thenCombine(settled, (again, outcome) -> better(outcome, again));
    }

    /** Sends a booking of unknown outcome again, under the same key. */
    private CompletableFuture<DemoOutcome> settle(
            DemoOutcome outcome, String account, String id, String body, int resendsLeft) {
        if (outcome.end() != DemoEnd.UNKNOWN || resendsLeft == 0) {
            return CompletableFuture.completedFuture(outcome);
        }
        DemoEntry entry = entries.get(resendsLeft % entries.size());
        return caller.book(entry, account, id, body)
                .thenCompose(next -> settle(next, account, id, body, resendsLeft - 1));
    }

    private DemoEntry other(DemoEntry entry) {
        return entries.get((entries.indexOf(entry) + 1) % entries.size());
    }

    private static DemoOutcome better(DemoOutcome a, DemoOutcome b) {
        return a.end() == DemoEnd.ANSWERED ? a : b;
    }
}
