package org.dragonflyhill.core.relay;

/**
 * Limits the bytes of responses that are being collected: of each one, and of all together, so that
 * several endless ones do not use up the memory of the node.
 *
 * <p>Not thread-safe.
 */
public final class ByteBudget {

  private final long maxEach;
  private final long maxTotal;
  private long total;

  /**
   * Creates a budget.
   *
   * @param maxEach maximum number of bytes of one response
   * @param maxTotal maximum number of bytes of all responses that are being collected
   */
  public ByteBudget(long maxEach, long maxTotal) {
    this.maxEach = maxEach;
    this.maxTotal = maxTotal;
  }

  /** Returns the share of a response that begins. */
  public Share open() {
    return new Share();
  }

  /** Returns the number of bytes of the responses that are being collected. */
  public long total() {
    return total;
  }

  /** The bytes of one response. */
  public final class Share {

    private long bytes;

    private Share() {}

    /** Adds bytes; returns false if the response has become too long, or all of them together. */
    public boolean add(long count) {
      bytes += count;
      total += count;
      return bytes <= maxEach && total <= maxTotal;
    }

    /** Gives the bytes back, once the response has been handled or given up. */
    public void release() {
      total -= bytes;
      bytes = 0;
    }
  }
}
