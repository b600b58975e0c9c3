package org.dragonflyhill.standins.replay;

import java.util.List;
import java.util.Map;

/** Measures how fairly organisations were served. Stateless and thread-safe. */
final class FairShares {

  private FairShares() {}

  /** Returns Jain's fairness index of the served part of each organisation's max-min fair share. */
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

  /** Returns the smallest served part of a max-min fair share among all organisations. */
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

  /** Returns the most that an organisation gets if a capacity is divided by max-min fairness. */
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
