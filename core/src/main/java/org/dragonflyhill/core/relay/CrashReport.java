package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Map;

/**
 * What a node tells its peers about the prompt parts and requests under which runners crashed.
 * Immutable; no component is null.
 *
 * @param crashes ages of crashes, by suspect and by identifier of the crash
 * @param sentRequests times since a suspect request was last sent to the runner that crashed, by
 *     suspect and by identifier of the crash
 * @param soundAnswers age of the newest sound answer that this node relayed, by suspect
 */
public record CrashReport(
    Map<String, Map<String, Duration>> crashes,
    Map<String, Map<String, Duration>> sentRequests,
    Map<String, Duration> soundAnswers) {

  /** A report of nothing. */
  public static final CrashReport EMPTY = new CrashReport(Map.of(), Map.of(), Map.of());

  /** Creates a report with copies of the maps. */
  public CrashReport {
    crashes = Map.copyOf(crashes);
    sentRequests = Map.copyOf(sentRequests);
    soundAnswers = Map.copyOf(soundAnswers);
  }
}
