package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * Recognises poison requests, which crash the upstreams that run them, by what they have in common:
 * all of the request (its digest), or a part of its prompt other than the last.
 *
 * <p>Each of these is a suspect of a crash that ended a send with it before the answer was well
 * under way. An answer proves a suspect harmless: it refutes the crashes before, and losses shortly
 * after it are not counted. The likely causes are condemned (see {@link CrashAttribution}); their
 * refusal is temporary, since a connection can break for other reasons. Crashes are merged with
 * those that other routers report, so that they outlive the router that saw them.
 *
 * <p>Invariant: at most {@link #MAX_SUSPECTS} suspects, the oldest are evicted first. Owned by the
 * control thread.
 */
public final class PoisonRegister {
    /** Maximum number of suspects remembered. */
    static final int MAX_SUSPECTS = 1024;

    /** Maximum number of suspects reported to the other routers. */
    private static final int MAX_REPORTED_SUSPECTS = 24;

    /** Crashes before this time no longer count. */
    private static final Duration EVIDENCE_TTL = Duration.ofMinutes(10);

    /** Shortest time between two requests with which a condemned suspect is tried. */
    private static final Duration MIN_TRIAL_INTERVAL = Duration.ofSeconds(2);

    private static final Comparator<Map.Entry<String, CrashEvidence>> MOST_CRASHES_FIRST =
            Comparator.comparingInt(entry -> -entry.getValue().crashes().size());

    private final Map<String, CrashEvidence> evidence = new LinkedHashMap<>();
    private final Map<String, Long> lastTrialNanos = new HashMap<>();
    private final CrashKeys crashKeys = new CrashKeys();
    private final AnswerLog ownAnswers = new AnswerLog();
    private final AnswerLog peerAnswers = new AnswerLog();
    private Map<String, Condemnation> condemned = Map.of();
    private BiConsumer<String, Condemnation> condemnationListener = (suspect, condemnation) -> {};
    private Set<String> reportedAnswers = Set.of();
    private PoisonNews news = PoisonNews.NONE;

    /** Sets what is called, on the control thread, when a suspect is condemned. */
    public void setCondemnationListener(BiConsumer<String, Condemnation> listener) {
        condemnationListener = listener;
    }

    /** Whether a request is refused now; if not, it counts as the trial of its suspects. */
    boolean isRefused(String digest, List<PromptPart> parts, LiveRouters routers, long nowNanos) {
        if (condemned.isEmpty()) {
            return false;
        }
        List<String> suspects =
                Suspects.of(digest, parts).stream().filter(condemned::containsKey).toList();
        if (suspects.stream().anyMatch(s -> isSuspectRefused(s, suspects, routers, nowNanos))) {
            return true;
        }
        suspects.forEach(suspect -> lastTrialNanos.put(suspect, nowNanos));
        return false;
    }

    /**
     * Counts the crash of an upstream that ended a send before its answer was well under way.
     *
     * @return whether a suspect of the request is condemned from now on
     */
    boolean onCrash(String digest, List<PromptPart> parts, Incarnation upstream, long nowNanos) {
        int crash = crashKeys.keyOfLoss(upstream, nowNanos);
        Map<String, Condemnation> before = condemned;
        for (String suspect : Suspects.of(digest, parts)) {
            if (isAnsweredRecently(suspect, nowNanos)) {
                continue;
            }
            if (addCrashes(suspect, Set.of(crash), nowNanos, nowNanos)) {
                boolean repeated = evidence.get(suspect).crashes().size() > 1;
                raiseNews(repeated ? PoisonNews.REPEATED_CRASH : PoisonNews.FIRST_CRASH);
            }
        }
        attribute(nowNanos);
        return Suspects.of(digest, parts).stream()
                .anyMatch(s -> condemned.containsKey(s) && !before.containsKey(s));
    }

    /** Records an answer that was well under way, which proves all suspects of it harmless. */
    void onAnswer(String digest, List<PromptPart> parts, long nowNanos) {
        boolean refuted = false;
        for (String suspect : Suspects.of(digest, parts)) {
            CrashEvidence known = evidence.get(suspect);
            if (known != null
                    && known.crashes().size() + known.refuted().size() > 1
                    && !reportedAnswers.contains(suspect)) {
                raiseNews(PoisonNews.REPEATED_CRASH);
            }
            ownAnswers.record(suspect, nowNanos);
            refuted |= refute(suspect);
        }
        if (refuted) {
            attribute(nowNanos);
        }
    }

    /** Whether a request may hold what crashes upstreams; such a request is sent singly. */
    boolean isSuspected(String digest, List<PromptPart> parts) {
        return !condemned.isEmpty()
                && Suspects.of(digest, parts).stream().anyMatch(condemned::containsKey);
    }

    /**
     * Records the end of a send.
     *
     * @return whether a suspect of the request is condemned from now on
     */
    boolean onSendEnd(String digest, List<PromptPart> parts, SendReport report, long nowNanos) {
        if (report.provesHarmless(nowNanos)) {
            onAnswer(digest, parts, nowNanos);
            return false;
        }
        Incarnation upstream = report.send().upstream().incarnation();
        return report.outcome() == SendOutcome.BROKEN && onCrash(digest, parts, upstream, nowNanos);
    }

    /** What the other routers should know; counts as told from now on. */
    public PoisonReport report(long nowNanos) {
        Map<String, CrashReport> crashes =
                evidence.entrySet().stream()
                        .filter(entry -> !entry.getValue().crashes().isEmpty())
                        .sorted(MOST_CRASHES_FIRST)
                        .limit(MAX_REPORTED_SUSPECTS)
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        entry -> report(entry.getValue(), nowNanos)));
        Set<String> answered =
                evidence.keySet().stream()
                        .filter(suspect -> ownAnswers.isAnsweredRecently(suspect, nowNanos))
                        .limit(MAX_REPORTED_SUSPECTS)
                        .collect(Collectors.toSet());
        reportedAnswers = answered;
        return new PoisonReport(crashes, answered);
    }

    /** How soon {@link #report} should be published. */
    public PoisonNews news() {
        return news;
    }

    /** Records that the report is published. */
    public void onPublished() {
        news = PoisonNews.NONE;
    }

    /**
     * Merges what a router reported; an earlier incarnation of this one counts like another router.
     */
    public void applyReport(PoisonReport report, long nowNanos) {
        report.answered().forEach(suspect -> peerAnswers.record(suspect, nowNanos));
        report.crashes().forEach((suspect, crashes) -> applyCrashes(suspect, crashes, nowNanos));
        report.answered().forEach(this::refute);
        attribute(nowNanos);
    }

    /** A router that has not seen an answer may refuse what was answered here, so it is told. */
    private void applyCrashes(String suspect, CrashReport crashes, long nowNanos) {
        addCrashes(suspect, crashes.crashes(), nowNanos - crashes.age().toNanos(), nowNanos);
        if (!isAnsweredRecently(suspect, nowNanos)) {
            return;
        }
        refute(suspect);
        if (crashes.crashes().size() > 1
                && ownAnswers.isAnsweredRecently(suspect, nowNanos)
                && !reportedAnswers.contains(suspect)) {
            raiseNews(PoisonNews.REPEATED_CRASH);
        }
    }

    private static CrashReport report(CrashEvidence known, long nowNanos) {
        return new CrashReport(
                known.crashes(), Duration.ofNanos(Math.max(0, nowNanos - known.lastNanos())));
    }

    private boolean isSuspectRefused(
            String suspect, List<String> suspects, LiveRouters routers, long nowNanos) {
        if (isAnsweredRecently(suspect, nowNanos)) {
            return false;
        }
        Condemnation condemnation = condemned.get(suspect);
        long age = nowNanos - evidence.get(suspect).lastNanos();
        if (age < condemnation.refusal(suspects).toNanos()) {
            return true;
        }
        if (age >= condemnation.trialEnd().toNanos()) {
            return false;
        }
        Long trial = lastTrialNanos.get(suspect);
        if (trial != null && nowNanos - trial < MIN_TRIAL_INTERVAL.toNanos()) {
            return true;
        }
        return condemnation.holdsAllParts(suspects) && routers.shareOf(1, suspect) == 0;
    }

    private boolean isAnsweredRecently(String suspect, long nowNanos) {
        return ownAnswers.isAnsweredRecently(suspect, nowNanos)
                || peerAnswers.isAnsweredRecently(suspect, nowNanos);
    }

    private boolean addCrashes(String suspect, Set<Integer> keys, long atNanos, long nowNanos) {
        if (nowNanos - atNanos >= EVIDENCE_TTL.toNanos()) {
            return false;
        }
        CrashEvidence before = evidence.get(suspect);
        CrashEvidence after =
                (before == null ? CrashEvidence.none(atNanos) : before).withCrashes(keys, atNanos);
        if (after.equals(before) || after.crashes().isEmpty()) {
            return false;
        }
        evidence.remove(suspect);
        evidence.put(suspect, after);
        if (evidence.size() > MAX_SUSPECTS) {
            evidence.remove(evidence.keySet().iterator().next());
        }
        return true;
    }

    private boolean refute(String suspect) {
        CrashEvidence known = evidence.get(suspect);
        if (known == null || known.crashes().isEmpty()) {
            return false;
        }
        evidence.put(suspect, known.refutedByAnswer());
        return true;
    }

    private void raiseNews(PoisonNews newer) {
        news = newer.compareTo(news) > 0 ? newer : news;
    }

    private void attribute(long nowNanos) {
        evidence.values().removeIf(e -> nowNanos - e.lastNanos() >= EVIDENCE_TTL.toNanos());
        Map<String, Set<Integer>> crashes = new HashMap<>();
        evidence.forEach(
                (suspect, known) -> {
                    if (!isAnsweredRecently(suspect, nowNanos)) {
                        crashes.put(suspect, known.crashes());
                    }
                });
        Map<String, Condemnation> before = condemned;
        condemned =
                CrashAttribution.attribute(
                        crashes, s -> ownAnswers.isAnswered(s) || peerAnswers.isAnswered(s));
        lastTrialNanos.keySet().retainAll(condemned.keySet());
        condemned.forEach(
                (suspect, condemnation) -> {
                    if (!condemnation.equals(before.get(suspect))) {
                        condemnationListener.accept(suspect, condemnation);
                    }
                });
    }
}
