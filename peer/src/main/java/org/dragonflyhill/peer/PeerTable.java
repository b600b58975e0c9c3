package org.dragonflyhill.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Knows of each node its configuration and when it was last heard, directly or through others.
 *
 * <p>Ages go over the wire in place of times, so that the hosts' clocks need not agree. Not
 * thread-safe; no argument may be null.
 */
public final class PeerTable {

  private final Map<String, Entry> entries = new TreeMap<>();

  /** Takes note of a heartbeat and of what it reports of others. */
  public void recordHeartbeat(PeerMessage.Heartbeat heartbeat, Instant now) {
    merge(new Entry(heartbeat.node(), heartbeat.offset(), heartbeat.version(), now));
    for (PeerMessage.NodeReport report : heartbeat.reports()) {
      Instant at = now.minus(Duration.ofMillis(Math.max(0, report.ageMillis())));
      merge(new Entry(report.node(), report.offset(), report.version(), at));
    }
  }

  /** Forgets all nodes but the listed ones. */
  public void retain(Set<String> listed) {
    entries.keySet().retainAll(listed);
  }

  /** Returns what is known, in order of names. */
  public List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns reports of some nodes, chosen at random.
   *
   * @param count most reports
   * @param random source of randomness
   * @param now present time
   */
  public List<PeerMessage.NodeReport> sampleReports(
      int count, RandomGenerator random, Instant now) {
    return sample(entries.values(), count, random).stream()
        .map(entry -> entry.toReport(now))
        .toList();
  }

  /** Returns some of the items, chosen at random. */
  public static <T> List<T> sample(Collection<T> items, int count, RandomGenerator random) {
    List<T> shuffled = new ArrayList<>(items);
    int chosen = Math.min(count, shuffled.size());
    for (int i = 0; i < chosen; i++) {
      Collections.swap(shuffled, i, random.nextInt(i, shuffled.size()));
    }
    return List.copyOf(shuffled.subList(0, chosen));
  }

  private void merge(Entry heard) {
    entries.merge(
        heard.node(),
        heard,
        (known, other) -> other.heardAt().isAfter(known.heardAt()) ? other : known);
  }

  /**
   * What is known of one node.
   *
   * @param node name of the node
   * @param offset offset of the last configuration record it folded
   * @param version version of its configuration
   * @param heardAt when it said so
   */
  public record Entry(String node, long offset, long version, Instant heardAt) {

    private PeerMessage.NodeReport toReport(Instant now) {
      long age = Math.max(0, Duration.between(heardAt, now).toMillis());
      return new PeerMessage.NodeReport(node, offset, version, age);
    }
  }
}
