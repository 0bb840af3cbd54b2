package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a router's log.
 *
 * <p>Immutable and thread safe, as long as nobody alters the fields.
 *
 * @param file where it was read
 * @param atMillis time of day in milliseconds
 * @param event what happened
 * @param fields all fields of the line
 */
record LogLine(String file, long atMillis, String event, JsonNode fields) {
    /** A field as text; empty if the line has none of the name. */
    String text(String name) {
        return fields.path(name).asText("");
    }

    /** A field as a number; 0 if the line has none of the name. */
    long number(String name) {
        return fields.path(name).asLong();
    }

    boolean is(String name) {
        return event.equals(name);
    }
}
