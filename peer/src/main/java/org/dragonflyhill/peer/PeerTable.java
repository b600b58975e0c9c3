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
 * Keeps the latest known configuration version of each node and the time when the node reported it,
 * either directly or through reports of other nodes.
 *
 * <p>Messages contain the age of a report, not its time, so that the clocks of the hosts need not
 * be synchronized. Not thread-safe; no argument may be null.
 */
public final class PeerTable {

  private final Map<String, Entry> entries = new TreeMap<>();

  /** Records a heartbeat, including its reports about other nodes. */
  public void recordHeartbeat(PeerMessage.Heartbeat heartbeat, Instant now) {
    merge(new Entry(heartbeat.node(), heartbeat.offset(), heartbeat.version(), now));
    for (PeerMessage.NodeReport report : heartbeat.reports()) {
      Instant heardAt = now.minus(Duration.ofMillis(Math.max(0, report.ageMillis())));
      merge(new Entry(report.node(), report.offset(), report.version(), heardAt));
    }
  }

  /** Removes all nodes except the given ones. */
  public void retain(Set<String> nodes) {
    entries.keySet().retainAll(nodes);
  }

  /** Returns the entries of all nodes, sorted by name. */
  public List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns reports about some nodes, selected at random.
   *
   * @param maxCount maximum number of reports
   * @param random source of randomness
   * @param now current time
   */
  public List<PeerMessage.NodeReport> sampleReports(
      int maxCount, RandomGenerator random, Instant now) {
    return sample(entries.values(), maxCount, random).stream()
        .map(entry -> entry.toReport(now))
        .toList();
  }

  /** Returns at most {@code maxCount} of the items, selected at random. */
  public static <T> List<T> sample(Collection<T> items, int maxCount, RandomGenerator random) {
    List<T> shuffled = new ArrayList<>(items);
    int chosen = Math.min(maxCount, shuffled.size());
    for (int i = 0; i < chosen; i++) {
      Collections.swap(shuffled, i, random.nextInt(i, shuffled.size()));
    }
    return List.copyOf(shuffled.subList(0, chosen));
  }

  private void merge(Entry entry) {
    entries.merge(
        entry.node(),
        entry,
        (known, reported) -> reported.heardAt().isAfter(known.heardAt()) ? reported : known);
  }

  /**
   * Latest known state of a node.
   *
   * @param node name of the node
   * @param offset offset of the last configuration record that it applied
   * @param version version of its configuration
   * @param heardAt when the node reported this state
   */
  public record Entry(String node, long offset, long version, Instant heardAt) {

    private PeerMessage.NodeReport toReport(Instant now) {
      long age = Math.max(0, Duration.between(heardAt, now).toMillis());
      return new PeerMessage.NodeReport(node, offset, version, age);
    }
  }
}
