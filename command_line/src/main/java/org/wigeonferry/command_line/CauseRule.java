package org.wigeonferry.command_line;

import java.util.Optional;

/** Tells a request's cause if it knows the kind of its end. */
@FunctionalInterface
interface CauseRule {
    /** The cause as a sentence; empty if another rule has to tell. */
    Optional<String> cause(RequestStory story);
}
