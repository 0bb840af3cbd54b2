package org.wigeonferry.router.connections;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes the value of the header field {@code Keep-Alive} (RFC 2068, section 19.7.1.1).
 *
 * <p>Stateless and thread safe.
 */
public final class KeepAliveHeader {
    /** Nine digits fit into any number of seconds. */
    private static final Pattern TIMEOUT =
            Pattern.compile("\\s*timeout\\s*=\\s*\"?(\\d{1,9})\"?\\s*", Pattern.CASE_INSENSITIVE);

    private KeepAliveHeader() {}

    /** The announced idle time, the shortest if there are several; empty without a valid one. */
    public static Optional<Duration> timeout(String value) {
        return Arrays.stream(value.split(","))
                .map(TIMEOUT::matcher)
                .filter(Matcher::matches)
                .map(match -> Duration.ofSeconds(Long.parseLong(match.group(1))))
                .min(Duration::compareTo);
    }
}
