package org.dragonflyhill.core.relay;

/**
 * The bytes that a node may hold for others: bodies of requests, responses that callers have not
 * taken, incomplete events of streams, and responses of the control interfaces, all counted in one
 * budget.
 *
 * <p>Each kind stops at its own fraction of the budget, so that large bodies do not keep out small
 * ones, and neither keeps out the control responses without which the node cannot work.
 *
 * <p>Not thread-safe.
 */
public final class RelayMemory {

  /** Length above which a body is large. Plain requests and most prompts are shorter. */
  public static final long MAX_SMALL_BODY_BYTES = 64 * 1_024;

  /** Fraction of the node's heap limit; the rest is for the node's own state and its garbage. */
  private static final double FRACTION_OF_HEAP = 0.5;

  private static final double LARGE_BODY_FRACTION = 0.6;
  private static final double SMALL_BODY_FRACTION = 0.75;

  /** Fraction above which responses that callers do not take are given up. */
  private static final double RESPONSE_FRACTION = 0.75;

  /** Fraction that the incomplete events of all streams may use. */
  private static final double EVENT_FRACTION = 0.2;

  private final long maxBytes;
  private final ByteBudget budget;
  private final ByteBudget events;

  /** Creates a budget of a number of bytes. */
  public RelayMemory(long maxBytes) {
    this.maxBytes = maxBytes;
    budget = new ByteBudget(maxBytes, maxBytes);
    events = budget.part(EventStream.MAX_EVENT_BYTES, (long) (maxBytes * EVENT_FRACTION));
  }

  /** Returns the budget of a node with the heap limit of this process. */
  public static RelayMemory ofThisProcess() {
    return new RelayMemory((long) (Runtime.getRuntime().maxMemory() * FRACTION_OF_HEAP));
  }

  /** Returns the bytes of one holder, which are counted but not limited by themselves. */
  public ByteBudget.Share open() {
    return budget.open();
  }

  /** Returns the bytes of the incomplete event of one stream. */
  public ByteBudget.Share openEvent() {
    return events.open();
  }

  /**
   * Returns a budget for control responses, whose bytes are counted in this one too.
   *
   * @param maxEach maximum number of bytes of one response
   * @param maxTotal maximum number of bytes of all responses of the part
   */
  public ByteBudget part(long maxEach, long maxTotal) {
    return budget.part(maxEach, maxTotal);
  }

  /** Returns the number of bytes held. */
  public long total() {
    return budget.total();
  }

  /** Returns the length of the longest body that the node can ever hold. */
  public long maxBodyBytes() {
    return (long) (maxBytes * LARGE_BODY_FRACTION);
  }

  /**
   * Returns whether there is room for more bytes of a body.
   *
   * @param length length of the body as far as it is known
   * @param count number of bytes to add
   */
  public boolean hasRoom(long length, long count) {
    double fraction = length > MAX_SMALL_BODY_BYTES ? LARGE_BODY_FRACTION : SMALL_BODY_FRACTION;
    return budget.total() + count <= maxBytes * fraction;
  }

  /** Returns whether responses that their callers do not take must be given up. */
  public boolean isUsedUp() {
    return budget.total() > maxBytes * RESPONSE_FRACTION;
  }
}
