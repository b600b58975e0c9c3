package org.dragonflyhill.standins.replay;

import java.util.List;
import java.util.Map;

/** Measures how evenly work was served to organisations. Stateless and thread-safe. */
final class FairShares {

  private FairShares() {}

  /** Returns Jain's index over the part of each organisation's max-min fair share it was served. */
  static double jain(Map<String, Double> wanted, Map<String, Double> served) {
    double[] parts = parts(wanted, served);
    double sum = 0;
    double squares = 0;
    for (double part : parts) {
      sum += part;
      squares += part * part;
    }
    return squares == 0 ? 0 : sum * sum / (parts.length * squares);
  }

  /** Returns the least part of its max-min fair share that an organisation was served. */
  static double least(Map<String, Double> wanted, Map<String, Double> served) {
    double least = 1;
    for (double part : parts(wanted, served)) {
      least = Math.min(least, part);
    }
    return least;
  }

  private static double[] parts(Map<String, Double> wanted, Map<String, Double> served) {
    double all = served.values().stream().mapToDouble(Double::doubleValue).sum();
    double level = level(wanted.values().stream().sorted().toList(), all);
    return wanted.entrySet().stream()
        .mapToDouble(
            entry -> {
              double share = Math.min(entry.getValue(), level);
              return share == 0 ? 1 : Math.min(1, served.getOrDefault(entry.getKey(), 0.0) / share);
            })
        .toArray();
  }

  /** Returns the share up to which every want is met when so much is served to all. */
  private static double level(List<Double> ascendingWants, double all) {
    double left = all;
    for (int index = 0; index < ascendingWants.size(); index++) {
      double even = left / (ascendingWants.size() - index);
      if (ascendingWants.get(index) >= even) {
        return even;
      }
      left -= ascendingWants.get(index);
    }
    return Double.MAX_VALUE;
  }
}
