package org.dragonflyhill.standins.replay;

import java.util.List;
import java.util.Map;

/** Measures how evenly work was served to organisations. Stateless and thread-safe. */
final class FairShares {

  private FairShares() {}

  /** Returns Jain's index over the part of each organisation's max-min fair share it was served. */
  static double jainIndex(Map<String, Double> demand, Map<String, Double> served) {
    double[] ratios = servedRatios(demand, served);
    double sum = 0;
    double squares = 0;
    for (double ratio : ratios) {
      sum += ratio;
      squares += ratio * ratio;
    }
    return squares == 0 ? 0 : sum * sum / (ratios.length * squares);
  }

  /** Returns the least part of its max-min fair share that an organisation was served. */
  static double minServedRatio(Map<String, Double> demand, Map<String, Double> served) {
    double min = 1;
    for (double ratio : servedRatios(demand, served)) {
      min = Math.min(min, ratio);
    }
    return min;
  }

  private static double[] servedRatios(Map<String, Double> demand, Map<String, Double> served) {
    double totalServed = served.values().stream().mapToDouble(Double::doubleValue).sum();
    double maxShare = maxMinShare(demand.values().stream().sorted().toList(), totalServed);
    return demand.entrySet().stream()
        .mapToDouble(
            entry -> {
              double share = Math.min(entry.getValue(), maxShare);
              return share == 0 ? 1 : Math.min(1, served.getOrDefault(entry.getKey(), 0.0) / share);
            })
        .toArray();
  }

  /** Returns the share up to which every want is met when so much is served to all. */
  private static double maxMinShare(List<Double> ascendingDemands, double capacity) {
    double remaining = capacity;
    for (int index = 0; index < ascendingDemands.size(); index++) {
      double equalShare = remaining / (ascendingDemands.size() - index);
      if (ascendingDemands.get(index) >= equalShare) {
        return equalShare;
      }
      remaining -= ascendingDemands.get(index);
    }
    return Double.MAX_VALUE;
  }
}
