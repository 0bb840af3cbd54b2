package org.wigeonferry.measurements;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Measured points, their line, and its value at the target's size.
 *
 * <p>Immutable and thread safe.
 *
 * @param name what was measured
 * @param unit unit of the values
 * @param over what was varied
 * @param points the points
 * @param target the target's size
 */
record Series(String name, String unit, String over, List<Point> points, double target) {
    LineFit fit() {
        return LineFit.of(points);
    }

    double atTarget() {
        return fit().at(target);
    }

    /** A row of the page. */
    String row() {
        String measured =
                points.stream()
                        .map(p -> String.format(Locale.ROOT, "%.0f: %.4g", p.x(), p.y()))
                        .collect(Collectors.joining(", "));
        return String.format(
                Locale.ROOT,
                "| %s (%s) | %s | %s | %s | %.4g at %.0f |%n",
                name,
                unit,
                over,
                measured,
                fit().text(),
                atTarget(),
                target);
    }
}
