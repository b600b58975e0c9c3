package org.dragonflyhill.standins.slopes;

import java.util.List;

/**
 * Linear least-squares fit of measured points.
 *
 * <p>Immutable and thread-safe.
 *
 * @param intercept value at size 0
 * @param slope increase of the value per unit of size
 */
public record LinearFit(double intercept, double slope) {

  /**
   * Fits a line to measured points.
   *
   * @param points measured points, with at least two different sizes
   * @throws IllegalArgumentException if all points have the same size
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
      throw new IllegalArgumentException(
          "points: at least two different sizes are required; all have size " + meanSize);
    }
    double slope = covariance / variance;
    return new LinearFit(meanValue - slope * meanSize, slope);
  }

  /** Returns the fitted value at the given size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }

  /**
   * One measured point.
   *
   * @param size size of the deployment, such as its number of runners
   * @param value measured value
   */
  public record Point(double size, double value) {}
}
