package org.dragonflyhill.standins.slopes;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * <p>Immutable and thread-safe.
 *
 * @param intercept value at size 0
 * @param slope growth of the value for each unit of size
 */
public record LinearFit(double intercept, double slope) {

  /**
   * Returns the line that fits the points best.
   *
   * @param points at least two points of different sizes
   * @throws IllegalArgumentException if all points have one size
   */
  public static LinearFit of(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    if (variance == 0) {
      throw new IllegalArgumentException("points: all of size " + meanSize);
    }
    double slope = covariance / variance;
    return new LinearFit(meanValue - slope * meanSize, slope);
  }

  /** Returns the value of the line at a size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }

  /**
   * One measurement.
   *
   * @param size size of the deployment, in the unit of the measurement
   * @param value measured value
   */
  public record Point(double size, double value) {}
}
