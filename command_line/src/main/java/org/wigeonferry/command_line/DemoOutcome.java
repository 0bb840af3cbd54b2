package org.wigeonferry.command_line;

import java.time.Duration;
import java.util.Optional;

/**
 * How a request of the demo ended.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind kind of the request
 * @param end how it ended
 * @param firstToken time to the first byte of the answer
 * @param stages stages that the cascade used; zero if unknown
 * @param billKey key of the bill that an answer must have
 * @param detail status and error, for people
 */
public record DemoOutcome(
        DemoKind kind,
        DemoEnd end,
        Duration firstToken,
        int stages,
        Optional<String> billKey,
        String detail) {}
