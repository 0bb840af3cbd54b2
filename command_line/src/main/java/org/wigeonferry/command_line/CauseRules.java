package org.wigeonferry.command_line;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Leads from what the logs say of a request to the cause of its end.
 *
 * <p>Stateless and thread safe.
 */
final class CauseRules {
    private static final String SILENT = "store does not answer";
    private static final int FIRST_ERROR = 400;

    private static final List<CauseRule> RULES =
            List.of(
                    refusedFor("stale_configuration", CauseRules::stale),
                    refusedFor("unknown_key", CauseRules::unknownToConfiguration),
                    refusedFor("unknown_route", CauseRules::unknownToConfiguration),
                    refusedFor("stopping", story -> "the router was stopping"),
                    refusedFor("no_configuration", CauseRules::noConfiguration),
                    refusedFor("no_upstream", CauseRules::noUpstream),
                    CauseRules::openOutcome,
                    CauseRules::otherRefusal,
                    CauseRules::brokenStream,
                    CauseRules::upstreamsAnswer,
                    ended("caller left", story -> "the caller closed its connection"),
                    ended("answered", story -> "it was answered"));

    private CauseRules() {}

    /** The first rule's cause. */
    static String cause(RequestStory story) {
        return RULES.stream()
                .flatMap(rule -> rule.cause(story).stream())
                .findFirst()
                .orElse("its end is in none of these logs: the process may have been killed");
    }

    private static CauseRule refusedFor(String cause, Function<RequestStory, String> tell) {
        return story ->
                story.end()
                        .filter(end -> end.is("refused") && end.text("cause").equals(cause))
                        .map(end -> tell.apply(story));
    }

    private static CauseRule ended(String event, Function<RequestStory, String> tell) {
        return story -> story.end().filter(end -> end.is(event)).map(end -> tell.apply(story));
    }

    private static String stale(RequestStory story) {
        long age = story.end().map(end -> end.number("age_ms")).orElse(0L);
        String store =
                story.before(SILENT, "store answers")
                        .filter(line -> line.is(SILENT))
                        .flatMap(line -> silence(story))
                        .map(cause -> "; the store did not answer: " + cause)
                        .orElse("");
        return "the configuration was last confirmed " + age + " ms before" + store;
    }

    /** What the store's client said; the control thread notes the silence without a cause. */
    private static Optional<String> silence(RequestStory story) {
        return story.lastBefore(line -> line.is(SILENT) && !line.text("cause").isEmpty())
                .map(line -> line.text("cause"));
    }

    private static String unknownToConfiguration(RequestStory story) {
        String what = story.end().map(end -> end.text("cause")).orElse("");
        long revision = story.end().map(end -> end.number("revision")).orElse(0L);
        return what.replace('_', ' ') + " in revision " + revision + " of the configuration";
    }

    private static String noConfiguration(RequestStory story) {
        return silence(story)
                .map(cause -> "no configuration was read yet: " + cause)
                .orElse("no configuration was read yet");
    }

    private static String noUpstream(RequestStory story) {
        return story.before("upstream gone")
                .map(
                        line ->
                                "no upstream could take it; the last to go was "
                                        + line.text("upstream"))
                .orElse("no upstream could take it");
    }

    private static Optional<String> openOutcome(RequestStory story) {
        return story.end()
                .filter(end -> end.is("refused") && !end.fields().path("not_run").asBoolean(true))
                .flatMap(end -> story.lastSend())
                .map(send -> "it may have run: " + send(send));
    }

    private static Optional<String> otherRefusal(RequestStory story) {
        return story.end()
                .filter(end -> end.is("refused"))
                .map(end -> "refused before it ran: " + end.text("cause").replace('_', ' '));
    }

    private static Optional<String> brokenStream(RequestStory story) {
        return story.end()
                .filter(end -> end.is("stream broken off"))
                .map(
                        end ->
                                "its stream could not go on ("
                                        + end.text("cause").replace('_', ' ')
                                        + ")"
                                        + story.lastSend().map(s -> ": " + send(s)).orElse(""));
    }

    private static Optional<String> upstreamsAnswer(RequestStory story) {
        return story.end()
                .filter(end -> end.is("answered") && end.number("status") >= FIRST_ERROR)
                .flatMap(end -> story.lastSend())
                .map(send -> "the upstream's own answer: " + send(send));
    }

    private static String send(LogLine line) {
        return "the send to upstream "
                + line.text("upstream")
                + " at "
                + line.text("peer")
                + " ended "
                + line.text("outcome")
                + ", status "
                + line.number("status")
                + (line.text("cause").isEmpty() ? "" : ", " + line.text("cause"));
    }
}
