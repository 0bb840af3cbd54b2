package org.wigeonferry.command_line.soak;

import java.util.List;

/** One promise, checked on what was seen from outside. */
@FunctionalInterface
interface SoakCheck {
    /** Describes each breach. */
    List<String> breaches(SoakHistory history);
}
