package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.RendezvousHash;

/**
 * A topic of the log service that a few nodes read for all. The others rely on the progress that
 * these report and read the topic themselves as soon as a report is missing, too old, or ahead of
 * what they know.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class SharedTopic {

  /**
   * Age of a reader's knowledge up to which a node relies on it. Changes must be in force, and
   * leaving runners unused, within 2 s in the strictest deployment.
   */
  public static final Duration MAX_AGE = Duration.ofMillis(900);

  /** Time for which changing records are repeated in the reports. */
  public static final Duration REPEAT_TIME = Duration.ofSeconds(5);

  /** Maximum number of records in a report, by which it fits into one frame of the network. */
  public static final int MAX_RECORDS = 3;

  private final String topic;
  private final Deque<Repeated> repeated = new ArrayDeque<>();
  private long epoch;
  private long from;
  private long through;
  private Instant readAt = Instant.MIN;
  private Instant confirmedAt = Instant.MIN;

  /** Creates a shared topic that no node has read yet. */
  public SharedTopic(String topic) {
    this.topic = topic;
  }

  /** Returns the name of the topic. */
  public String topic() {
    return topic;
  }

  /**
   * Returns whether a node is one of the readers of the topic. There is one for each group of peers
   * that get a report at the same tick, so that every node hears from some reader at most ticks.
   *
   * @param node name of the node
   * @param peers names of the other live nodes that can reach the log service
   */
  public boolean isReader(String node, Collection<String> peers) {
    List<String> nodes = new ArrayList<>(peers);
    nodes.add(node);
    int readers = PeerSchedule.REPORTS.groups(peers.size());
    return RendezvousHash.rank(topic, nodes).stream().limit(readers).anyMatch(node::equals);
  }

  /**
   * Records that this node has read the topic. In a new epoch of the log, nothing that was read or
   * reported before counts.
   *
   * @param readEpoch epoch of the log
   * @param readFrom offset from which it has read
   * @param readThrough offset behind the last record
   * @param changing the records that change something, empty if they are not to be passed on
   * @param now present time
   */
  public void recordRead(
      long readEpoch,
      long readFrom,
      long readThrough,
      Optional<List<TopicProgress.Entry>> changing,
      Instant now) {
    if (readEpoch != epoch) {
      confirmedAt = Instant.MIN;
    }
    boolean hasGap = readEpoch != epoch || readFrom != through;
    boolean hasUnsharedRecords = changing.isEmpty() && readThrough > readFrom;
    if (hasGap || hasUnsharedRecords) {
      repeated.clear();
      from = hasUnsharedRecords ? readThrough : readFrom;
    }
    epoch = readEpoch;
    through = readThrough;
    readAt = now;
    changing.ifPresent(list -> list.forEach(entry -> repeated.add(new Repeated(entry, now))));
    while (repeated.size() > MAX_RECORDS
        || !repeated.isEmpty() && now.isAfter(repeated.peekFirst().at.plus(REPEAT_TIME))) {
      from = repeated.pollFirst().entry.offset() + 1;
    }
  }

  /** Returns this node's progress, empty if it has not read the topic lately. */
  public Optional<TopicProgress> progress(Instant now) {
    if (readAt.equals(Instant.MIN) || now.isAfter(readAt.plus(MAX_AGE))) {
      return Optional.empty();
    }
    return Optional.of(
        new TopicProgress(
            topic,
            epoch,
            from,
            through,
            Duration.between(readAt, now),
            repeated.stream().map(Repeated::entry).toList()));
  }

  /**
   * Handles the progress of a reader. Returns the records that this node has to apply, after which
   * it knows the topic up to the reader's offset, or empty if it has to read the topic itself since
   * the report does not reach back to what it knows, or is of a newer epoch. A report of an older
   * epoch says nothing.
   *
   * @param progress the report
   * @param next position of the next record that this node needs
   * @param now present time
   */
  public Optional<List<TopicProgress.Entry>> accept(
      TopicProgress progress, LogPosition next, Instant now) {
    if (progress.epoch() < next.epoch()) {
      return Optional.of(List.of());
    }
    if (progress.epoch() > next.epoch() || progress.from() > next.offset()) {
      confirmedAt = Instant.MIN;
      return Optional.empty();
    }
    if (progress.through() >= next.offset()) {
      Instant at = now.minus(progress.age());
      confirmedAt = at.isAfter(confirmedAt) ? at : confirmedAt;
    }
    return Optional.of(
        progress.records().stream().filter(entry -> entry.offset() >= next.offset()).toList());
  }

  /** Returns until when this node may rely on the readers, empty if it must read itself now. */
  public Optional<Instant> relyUntil(Instant now) {
    return confirmedAt.equals(Instant.MIN)
        ? Optional.empty()
        : Optional.of(confirmedAt.plus(MAX_AGE)).filter(now::isBefore);
  }

  private record Repeated(TopicProgress.Entry entry, Instant at) {}
}
