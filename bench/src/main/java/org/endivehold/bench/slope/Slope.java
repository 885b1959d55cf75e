package org.endivehold.bench.slope;

import java.util.List;

/**
 * A cost measured at several sizes, with the straight line that fits best.
 *
 * @param name what was measured
 * @param size what the size counts
 * @param unit unit of the cost
 * @param points the measurements
 * @param intercept cost at size zero, by the line
 * @param perUnit cost that each unit of size adds, by the line
 * @param perUnitError standard error of {@code perUnit}; 0 with fewer than three points
 */
public record Slope(
        String name,
        String size,
        String unit,
        List<Point> points,
        double intercept,
        double perUnit,
        double perUnitError) {
    /**
     * One measurement.
     *
     * @param size the size
     * @param value the cost
     */
    public record Point(double size, double value) {}

    /**
     * Fits a line by least squares.
     *
     * @param name what was measured
     * @param size what the size counts
     * @param unit unit of the cost
     * @param points at least two measurements at different sizes
     * @return the slope
     */
    public static Slope fit(String name, String size, String unit, List<Point> points) {
        int n = points.size();
        double meanX = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanY = points.stream().mapToDouble(Point::value).average().orElse(0);
        double sxx = 0;
        double sxy = 0;
        for (Point point : points) {
            sxx += (point.size() - meanX) * (point.size() - meanX);
            sxy += (point.size() - meanX) * (point.value() - meanY);
        }
        double perUnit = sxy / sxx;
        double intercept = meanY - perUnit * meanX;
        double residual = 0;
        for (Point point : points) {
            double off = point.value() - intercept - perUnit * point.size();
            residual += off * off;
        }
        double error = n < 3 ? 0 : Math.sqrt(residual / (n - 2) / sxx);
        return new Slope(name, size, unit, List.copyOf(points), intercept, perUnit, error);
    }
}
