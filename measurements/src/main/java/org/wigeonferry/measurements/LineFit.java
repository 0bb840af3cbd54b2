package org.wigeonferry.measurements;

import java.util.List;
import java.util.Locale;

/**
 * Straight line through measured points by least squares.
 *
 * <p>Immutable and thread safe.
 *
 * @param base value at zero
 * @param slope rise for each unit
 * @param error greatest distance of a point from the line, as a share of the greatest value
 */
record LineFit(double base, double slope, double error) {
    static LineFit of(List<Point> points) {
        double n = points.size();
        double meanX = points.stream().mapToDouble(Point::x).sum() / n;
        double meanY = points.stream().mapToDouble(Point::y).sum() / n;
        double covariance =
                points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
        double variance = points.stream().mapToDouble(p -> Math.pow(p.x() - meanX, 2)).sum();
        double slope = variance == 0 ? 0 : covariance / variance;
        double base = meanY - slope * meanX;
        double greatest = points.stream().mapToDouble(p -> Math.abs(p.y())).max().orElse(1);
        double error =
                points.stream()
                                .mapToDouble(p -> Math.abs(p.y() - base - slope * p.x()))
                                .max()
                                .orElse(0)
                        / Math.max(greatest, Double.MIN_VALUE);
        return new LineFit(base, slope, error);
    }

    double at(double x) {
        return base + slope * x;
    }

    String text() {
        return String.format(
                Locale.ROOT, "%.4g + %.4g x (worst point off by %.0f%%)", base, slope, 100 * error);
    }
}
