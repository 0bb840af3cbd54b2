package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * The requests that wait for room at the upstreams of one service.
 *
 * <p>Handles bursts of several times the capacity: a request that can't be sent in time is refused
 * when it comes, and one that is overtaken until it can't be sent in time is refused then, instead
 * of at its deadline. Requests leave by rank, then by how far their account is beyond its share,
 * then by their latest start. A request that finds no room lets others pass, but only a few times,
 * so that small requests do not starve a large one. Invariant: the sums are those of the waiting
 * requests, within the limits. Owned by the control thread.
 */
public final class WaitingQueue {
    /** Requests without room after which a pass ends; each try is a placement decision. */
    private static final int MAX_FAILED_TRIES = 4;

    /** Requests that may be sent before one that was tried earlier and found no room. */
    private static final int MAX_TIMES_OVERTAKEN = 8;

    /** A waiting request is evicted if its expected wait exceeds the time left by this factor. */
    private static final double WAIT_ERROR_FACTOR = 1.5;

    private final QueueLimits limits;
    private final AccountUse use;
    private final DrainRate drainRate;
    private final Map<Long, WaitingRequest> requests = new HashMap<>();
    private final Map<Long, Integer> timesOvertaken = new HashMap<>();
    private long tokens;
    private long bytes;

    /** Creates an empty queue. */
    public WaitingQueue(QueueLimits limits, AccountUse use, DrainRate drainRate) {
        this.limits = limits;
        this.use = use;
        this.drainRate = drainRate;
    }

    /** Number of waiting requests. */
    public int size() {
        return requests.size();
    }

    /** The waiting request with a number. */
    public Optional<WaitingRequest> request(long number) {
        return Optional.ofNullable(requests.get(number));
    }

    /** Adds a request if it can be sent in time and the limits allow it. */
    public QueueDecision offer(WaitingRequest request, long nowNanos) {
        if (!limits.allow(1, request.tokens(), request.bytes())) {
            return new QueueDecision(Optional.of(WaitRefusal.QUEUE_FULL), Duration.ZERO, List.of());
        }
        add(request);
        ToIntFunction<WaitingRequest> priority = priorities();
        Comparator<WaitingRequest> order = order(priority);
        long before = requests.values().stream().filter(r -> order.compare(r, request) < 0).count();
        Duration wait = timeFor(before + 1, priority.applyAsInt(request));
        if (nowNanos + wait.toNanos() - request.latestStartNanos() > 0) {
            remove(request.number());
            return new QueueDecision(Optional.of(WaitRefusal.WAIT_TOO_LONG), wait, List.of());
        }
        List<Eviction> evictions = evictBeyondLimits();
        if (!requests.containsKey(request.number())) {
            List<Eviction> others =
                    evictions.stream().filter(e -> !e.request().equals(request)).toList();
            return new QueueDecision(Optional.of(WaitRefusal.QUEUE_FULL), wait, others);
        }
        evictions.addAll(evictTooLate(request, priority, nowNanos));
        return new QueueDecision(Optional.empty(), wait, evictions);
    }

    /** Removes a request; does nothing if it does not wait. */
    public void remove(long number) {
        WaitingRequest removed = requests.remove(number);
        if (removed != null) {
            tokens -= removed.tokens();
            bytes -= removed.bytes();
            timesOvertaken.remove(number);
        }
    }

    /**
     * Tries to send requests in order, until none waits or several found no room.
     *
     * @param tryToSend tries to send a request; true if it need not wait any longer
     */
    public void dispatch(Predicate<WaitingRequest> tryToSend) {
        Set<Long> tried = new HashSet<>();
        while (tried.size() < MAX_FAILED_TRIES) {
            Optional<WaitingRequest> next = first(tried);
            if (next.isEmpty()) {
                return;
            }
            long number = next.get().number();
            if (tryToSend.test(next.get())) {
                remove(number);
                tried.forEach(n -> timesOvertaken.merge(n, 1, Integer::sum));
                continue;
            }
            tried.add(number);
            if (timesOvertaken.getOrDefault(number, 0) >= MAX_TIMES_OVERTAKEN) {
                return;
            }
        }
    }

    /** Priority of a request with this rank and account; the lowest number leaves first. */
    public int priority(int rank, String account) {
        return priorities().applyAsInt(new WaitingRequest(0, account, rank, 0, 0, 0, 0));
    }

    /** All waiting requests, in the order in which they leave. */
    public List<WaitingRequest> inOrder() {
        return requests.values().stream().sorted(order()).toList();
    }

    /** When the request that waits longest began to wait. */
    public Optional<Long> oldestArrivalNanos() {
        return requests.values().stream()
                .map(WaitingRequest::arrivalNanos)
                .min(Comparator.naturalOrder());
    }

    private Optional<WaitingRequest> first(Set<Long> except) {
        return requests.values().stream()
                .filter(request -> !except.contains(request.number()))
                .min(order());
    }

    private Comparator<WaitingRequest> order() {
        return order(priorities());
    }

    private static Comparator<WaitingRequest> order(ToIntFunction<WaitingRequest> priority) {
        return Comparator.comparingInt(priority)
                .thenComparingLong(WaitingRequest::latestStartNanos)
                .thenComparingLong(WaitingRequest::number);
    }

    /** The priorities of requests as of now; accounts that wait have a share too. */
    private ToIntFunction<WaitingRequest> priorities() {
        Set<String> waiting =
                requests.values().stream().map(WaitingRequest::account).collect(Collectors.toSet());
        Map<String, Integer> excess = new HashMap<>();
        return request ->
                AccountUse.priority(
                        request.rank(),
                        excess.computeIfAbsent(
                                request.account(), account -> use.excess(account, waiting)));
    }

    private void add(WaitingRequest request) {
        requests.put(request.number(), request);
        tokens += request.tokens();
        bytes += request.bytes();
    }

    /** Evicts the last requests of the account that uses most, until the limits are kept. */
    private List<Eviction> evictBeyondLimits() {
        List<Eviction> evictions = new ArrayList<>();
        while (!limits.allow(requests.size(), tokens, bytes)) {
            String account = accountThatUsesMost();
            WaitingRequest last =
                    requests.values().stream()
                            .filter(request -> request.account().equals(account))
                            .max(order())
                            .orElseThrow();
            remove(last.number());
            evictions.add(new Eviction(last, WaitRefusal.QUEUE_FULL));
        }
        return evictions;
    }

    /** Accounts that have used the same are told apart by the tokens and requests that wait. */
    private String accountThatUsesMost() {
        Map<String, Long> waiting = new HashMap<>();
        requests.values()
                .forEach(
                        request ->
                                waiting.merge(request.account(), 1 + request.tokens(), Long::sum));
        return waiting.keySet().stream()
                .max(
                        Comparator.<String>comparingDouble(use::use)
                                .thenComparingLong(waiting::get)
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /** Evicts requests behind a new one that can't be sent in time any more. */
    private List<Eviction> evictTooLate(
            WaitingRequest added, ToIntFunction<WaitingRequest> priority, long nowNanos) {
        Comparator<WaitingRequest> order = order(priority);
        List<Eviction> evictions = new ArrayList<>();
        int position = 0;
        for (WaitingRequest request : requests.values().stream().sorted(order).toList()) {
            position++;
            Duration wait = timeFor(position, priority.applyAsInt(request));
            double waitNanos = wait.toNanos() / WAIT_ERROR_FACTOR;
            boolean tooLate = nowNanos + (long) waitNanos - request.latestStartNanos() > 0;
            if (tooLate && order.compare(request, added) > 0) {
                remove(request.number());
                evictions.add(new Eviction(request, WaitRefusal.WAIT_TOO_LONG));
                position--;
            }
        }
        return evictions;
    }

    private Duration timeFor(double ends, int priority) {
        return drainRate.timeForPriority(ends, priority).orElse(Duration.ZERO);
    }
}
