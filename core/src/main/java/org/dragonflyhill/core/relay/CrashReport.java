package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Map;

/**
 * What a node tells its peers about prompt parts under which runners crashed. Immutable; no
 * component is null.
 *
 * @param crashes ages of crashes, by part and by identifier of the crash
 * @param soundAnswers age of the newest sound answer that this node relayed, by part
 */
public record CrashReport(
    Map<String, Map<String, Duration>> crashes, Map<String, Duration> soundAnswers) {

  /** A report of nothing. */
  public static final CrashReport EMPTY = new CrashReport(Map.of(), Map.of());

  /** Creates a report with copies of the maps. */
  public CrashReport {
    crashes = Map.copyOf(crashes);
    soundAnswers = Map.copyOf(soundAnswers);
  }
}
