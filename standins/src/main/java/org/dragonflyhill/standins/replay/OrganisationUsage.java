package org.dragonflyhill.standins.replay;

import java.util.HashMap;
import java.util.Map;

/**
 * Work that a node admitted for each organisation, with exponential decay.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class OrganisationUsage {

  private static final double HALF_LIFE_MICROS = 10e6;

  private final Map<String, Double> tokens = new HashMap<>();
  private long decayedAtMicros;

  /** Adds admitted work, in tokens. */
  void recordAdmitted(String organisation, double work, long nowMicros) {
    decay(nowMicros);
    tokens.merge(organisation, work, Double::sum);
  }

  /** Returns the usage of an organisation relative to the average of all organisations. */
  double relativeUsage(String organisation, long nowMicros) {
    decay(nowMicros);
    double total = tokens.values().stream().mapToDouble(Double::doubleValue).sum();
    return total == 0 ? 0 : tokens.getOrDefault(organisation, 0.0) * tokens.size() / total;
  }

  private void decay(long nowMicros) {
    double factor = Math.pow(0.5, (nowMicros - decayedAtMicros) / HALF_LIFE_MICROS);
    tokens.replaceAll((organisation, work) -> work * factor);
    decayedAtMicros = nowMicros;
  }
}
