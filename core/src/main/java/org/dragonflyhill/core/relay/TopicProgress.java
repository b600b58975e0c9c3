package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * How far a node has read a topic of the log service, for its peers. Immutable; no component is
 * null.
 *
 * @param topic name of the topic
 * @param epoch epoch of the log in which the node has read it; offsets of other epochs differ
 * @param from offset from which on the listed records are all that matter
 * @param through offset behind the last record that the node has read
 * @param age time since the node learned that the topic ends there
 * @param records the records between the two offsets that change something, in order
 */
public record TopicProgress(
    String topic, long epoch, long from, long through, Duration age, List<Entry> records) {

  /** Creates a progress with a copy of the records. */
  public TopicProgress {
    records = List.copyOf(records);
  }

  /**
   * A record of a topic.
   *
   * @param offset offset of the record
   * @param key key of the record
   * @param value value of the record, empty if the key was deleted
   */
  public record Entry(long offset, String key, byte[] value) {

    @Override
    public boolean equals(Object other) {
      return other instanceof Entry entry
          && offset == entry.offset
          && key.equals(entry.key)
          && Arrays.equals(value, entry.value);
    }

    @Override
    public int hashCode() {
      return Long.hashCode(offset);
    }
  }
}
