package org.endivehold.bench.slope;

import java.util.List;

/**
 * A cost measured at several sizes, with its least-squares line.
 *
 * @param name the operation measured
 * @param size what the size counts
 * @param unit unit of the cost
 * @param points the measurements
 * @param intercept fitted cost at size zero
 * @param perUnit fitted cost of each additional unit of size
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
     * A measurement at one size.
     *
     * @param size the size
     * @param value the cost, in the unit of the slope
     */
    public record Point(double size, double value) {}

    /**
     * Fits a line by least squares.
     *
     * @param name the operation measured
     * @param size what the size counts
     * @param unit unit of the cost
     * @param points at least two measurements at different sizes
     * @return the fitted line with its points
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
        double squaredResiduals = 0;
        for (Point point : points) {
            double residual = point.value() - intercept - perUnit * point.size();
            squaredResiduals += residual * residual;
        }
        double error = n < 3 ? 0 : Math.sqrt(squaredResiduals / (n - 2) / sxx);
        return new Slope(name, size, unit, List.copyOf(points), intercept, perUnit, error);
    }
}
