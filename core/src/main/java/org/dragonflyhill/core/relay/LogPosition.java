package org.dragonflyhill.core.relay;

/**
 * A position in a topic of the log service. Offsets are given out again after the log was restored
 * from a copy, so that positions are compared by epoch first.
 *
 * @param epoch number of times that the log has been restored
 * @param offset offset in the topic
 */
public record LogPosition(long epoch, long offset) {

  /**
   * Number of bits of a fencing token that hold the offset. The remaining 21 of the 53 bits that
   * JSON numbers carry exactly hold the epoch.
   */
  private static final int OFFSET_BITS = 32;

  /** Highest epoch whose fencing tokens are exact as JSON numbers. */
  public static final long MAX_EPOCH = (1L << (53 - OFFSET_BITS)) - 1;

  /** Returns the position of the following record. */
  public LogPosition next() {
    return new LogPosition(epoch, offset + 1);
  }

  /**
   * Returns the fencing token of a lease whose record is at this position. It is higher in each
   * later epoch, and in the first epoch it is the offset, as in releases that know no epochs.
   */
  public long fencingToken() {
    return (epoch << OFFSET_BITS) + offset;
  }
}
