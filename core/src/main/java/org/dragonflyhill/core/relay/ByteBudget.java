package org.dragonflyhill.core.relay;

import java.util.Optional;

/**
 * Limits the bytes of messages that are being collected: of each one, and of all together, so that
 * several endless ones do not use up the memory of the node.
 *
 * <p>Not thread-safe.
 */
public final class ByteBudget {

  private final Optional<ByteBudget> whole;
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
    this(Optional.empty(), maxEach, maxTotal);
  }

  private ByteBudget(Optional<ByteBudget> whole, long maxEach, long maxTotal) {
    this.whole = whole;
    this.maxEach = maxEach;
    this.maxTotal = maxTotal;
  }

  /** Returns a budget whose bytes are also counted in this one, and limited by both. */
  ByteBudget part(long maxEachOfPart, long maxTotalOfPart) {
    return new ByteBudget(Optional.of(this), maxEachOfPart, maxTotalOfPart);
  }

  private boolean change(long count) {
    total += count;
    boolean isWholeKept = whole.isEmpty() || whole.get().change(count);
    return isWholeKept && total <= maxTotal;
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
      boolean isTotalKept = change(count);
      return isTotalKept && bytes <= maxEach;
    }

    /** Gives some bytes back; bytes that were given back before are not given back again. */
    public void remove(long count) {
      long removed = Math.min(count, bytes);
      change(-removed);
      bytes -= removed;
    }

    /** Returns the number of bytes. */
    public long bytes() {
      return bytes;
    }

    /** Gives the bytes back, once the response has been handled or given up. */
    public void release() {
      remove(bytes);
    }
  }
}
