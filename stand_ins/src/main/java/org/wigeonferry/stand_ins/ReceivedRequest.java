package org.wigeonferry.stand_ins;

import java.util.Arrays;

/**
 * A request that a {@link PersistentUpstream} received.
 *
 * <p>Immutable and thread safe.
 *
 * @param connection number of its connection, from 1
 * @param number its number on the connection, from 1
 */
public record ReceivedRequest(String head, int connection, int number) {
    /** Value of a header field; empty if there is none. */
    public String field(String name) {
        return Arrays.stream(head.split("\r\n"))
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }
}
