package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wigeonferry.routing.prediction.StartEstimate;
import org.wigeonferry.routing.waiting.QueueLimits;

/**
 * Chooses upstreams with room for jobs, and queues the jobs for which there is none.
 *
 * <p>Until {@link #enable}, upstreams always have room and no job waits. Owned by the control
 * thread.
 */
public final class LoadAdmission {
    private final UpstreamDirectory directory;
    private final UpstreamSelector selector;
    private final RoomRules rooms;
    private final Supplier<UpstreamRule> connections;
    private StartEstimate startEstimate = (job, nowNanos) -> Optional.empty();
    private Optional<WaitingJobs> waitingJobs = Optional.empty();
    private Runnable roomListener = () -> {};
    private Runnable rulesListener = () -> {};
    private Consumer<Job> evictionListener = job -> {};

    /**
     * Creates the admission.
     *
     * @param connections the rule that allows upstreams to which a connection is free
     */
    LoadAdmission(
            UpstreamDirectory directory,
            UpstreamSelector selector,
            RoomRules rooms,
            Supplier<UpstreamRule> connections) {
        this.directory = directory;
        this.selector = selector;
        this.rooms = rooms;
        this.connections = connections;
    }

    /**
     * Limits what is placed on upstreams, and queues what finds no room. Upstreams are chosen by
     * predicted time from now on, as admission depends on it.
     */
    public void enable(QueueLimits limits) {
        predictAllTimes();
        waitingJobs = Optional.of(new WaitingJobs(limits, job -> evictionListener.accept(job)));
    }

    /** Chooses upstreams by predicted time from now on, also those that report no pace. */
    public void predictAllTimes() {
        selector.predictAllTimes();
    }

    public boolean isEnabled() {
        return waitingJobs.isPresent();
    }

    /** Sets what predicts how soon a job would be answered. */
    public void setStartEstimate(StartEstimate estimate) {
        startEstimate = estimate;
    }

    /**
     * Sets what is called, on the control thread, when waiting jobs have to be routed again.
     *
     * @param roomChanged there may be room for some of them
     * @param rulesChanged some of them may not be served any more
     * @param evicted one of them has to leave the queue
     */
    public void setListeners(Runnable roomChanged, Runnable rulesChanged, Consumer<Job> evicted) {
        roomListener = roomChanged;
        rulesListener = rulesChanged;
        evictionListener = evicted;
    }

    /** Records that upstreams, or their room, may have changed. */
    public void onRoomChange() {
        roomListener.run();
    }

    /** Records that configuration, zones or upstreams changed, so that jobs may be refused now. */
    public void onRulesChange() {
        rulesListener.run();
    }

    /**
     * Applies the number of live routers of the zone, and drops what is too old; called
     * periodically.
     */
    public void runChecks(int zoneRouters, long nowNanos) {
        rooms.setZoneRouterCount(zoneRouters);
        rooms.removeExpired(nowNanos);
        roomListener.run();
    }

    /** Tries to send waiting jobs in order; {@code tryToSend} is true if one need not wait more. */
    public void dispatch(Predicate<Job> tryToSend) {
        waitingJobs.ifPresent(waiting -> waiting.dispatch(tryToSend));
    }

    /** All waiting jobs, in the order in which they leave. */
    public List<Job> waitingJobs() {
        return waitingJobs.map(WaitingJobs::inOrder).orElse(List.of());
    }

    /** Removes a job that need not wait any longer. */
    public void remove(Job job) {
        waitingJobs.ifPresent(waiting -> waiting.remove(job));
    }

    /** Part of a service's engine time that a job's account has used lately, from 0 to 1. */
    public double shareOfAccount(Job job) {
        return waitingJobs
                .map(waiting -> waiting.queueOf(job.service()).use())
                .map(use -> use.shareOf(ServiceQueue.accountName(job)))
                .orElse(0.0);
    }

    /** Whether jobs wait for the upstreams of a service. */
    public boolean hasWaiting(String service) {
        return waitingJobs
                .filter(waiting -> waiting.queueOf(service).queue().size() > 0)
                .isPresent();
    }

    /** Whether a job could be sent to an upstream now without taking the room of others. */
    boolean hasSpareRoom(UpstreamState upstream, Job job, long nowNanos) {
        return connections.get().allows(upstream, job, nowNanos)
                && (!isEnabled()
                        || (!hasWaiting(job.service()) && rooms.hasRoom(upstream, job, nowNanos)));
    }

    boolean isWaiting(Job job) {
        return waitingJobs.filter(waiting -> waiting.contains(job)).isPresent();
    }

    /** Chooses by the first of the rules that an upstream meets, with room or without. */
    UpstreamChoice choose(
            Job job, Optional<String> model, List<UpstreamRule> rules, long nowNanos) {
        UpstreamRule connectionRule = connections.get();
        if (waitingJobs.isEmpty()) {
            return rules.stream()
                    .map(rule -> selector.select(job, model, rule.and(connectionRule), nowNanos))
                    .flatMap(Optional::stream)
                    .findFirst()
                    .map(UpstreamChoice::of)
                    .orElse(UpstreamChoice.none(false));
        }
        UpstreamRule roomRule = connectionRule.and(rooms::hasRoom);
        boolean behindOthers = waitingJobs.get().isBehindOthers(job);
        for (UpstreamRule rule : rules) {
            Optional<SelectedUpstream> withRoom =
                    behindOthers
                            ? Optional.empty()
                            : selector.select(job, model, rule.and(roomRule), nowNanos);
            // Suspended upstreams are probably gone, so they have room when the others have none.
            if (withRoom.isPresent()
                    && (!withRoom.get().state().isSuspended(nowNanos)
                            || !isAnyAllowed(
                                    job, rule.and(LoadAdmission::isNotSuspended), nowNanos))) {
                return UpstreamChoice.of(withRoom.get());
            }
            if (isAnyAllowed(job, rule, nowNanos)) {
                return UpstreamChoice.none(true);
            }
        }
        return UpstreamChoice.none(false);
    }

    /** Queues a job for which {@link #choose} found no room, or refuses it. */
    PlacementResult waitOrRefuse(Job job, long nowNanos) {
        return waitingJobs.orElseThrow().waitOrRefuse(job, startEstimate, nowNanos);
    }

    void onSend(Job job, Send send, long nowNanos) {
        waitingJobs.ifPresent(
                waiting -> {
                    waiting.remove(job);
                    waiting.queueOf(job.service()).onSend(job, nowNanos);
                    rooms.onSend(send, nowNanos);
                });
    }

    void onSendEnd(Job job, SendReport report, long nowNanos) {
        waitingJobs.ifPresent(
                waiting -> waiting.queueOf(job.service()).onSendEnd(report, nowNanos));
        onRoomChange();
    }

    void setLiveRouters(LiveRouters routers) {
        rooms.setLiveRouters(routers);
    }

    void onConfigChange() {
        rooms.onCapacityChange();
        onRulesChange();
    }

    private boolean isAnyAllowed(Job job, UpstreamRule rule, long nowNanos) {
        UpstreamRule eligible = rule.and(rooms::canHaveRoom);
        return directory.upstreamStates().stream()
                .anyMatch(state -> eligible.allows(state, job, nowNanos));
    }

    private static boolean isNotSuspended(UpstreamState upstream, Job job, long nowNanos) {
        return !upstream.isSuspended(nowNanos);
    }
}
