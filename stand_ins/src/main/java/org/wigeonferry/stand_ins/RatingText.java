package org.wigeonferry.stand_ins;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Rates answers of stand-in engines, which name their own quality.
 *
 * <p>Stateless and thread safe.
 */
final class RatingText {
    private static final Pattern QUALITY = Pattern.compile("q=([0-9.]+)");

    private RatingText() {}

    /** The quality that an answer names; zero if it names none. */
    static double rating(String answer) {
        Matcher matcher = QUALITY.matcher(answer);
        return matcher.find() ? Double.parseDouble(matcher.group(1)) : 0;
    }
}
