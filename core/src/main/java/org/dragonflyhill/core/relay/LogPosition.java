package org.dragonflyhill.core.relay;

/**
 * A position in a topic of the log service. Offsets are given out again after the log was restored
 * from a copy, so that positions are compared by epoch first.
 *
 * @param epoch number of times that the log has been restored
 * @param offset offset in the topic
 */
public record LogPosition(long epoch, long offset) {

  /** Returns the position of the following record. */
  public LogPosition next() {
    return new LogPosition(epoch, offset + 1);
  }
}
