package org.dragonflyhill.core.relay;

/**
 * Limits the attempts to run one request. A new request is sent to no more runners than its route
 * permits. For an answer that has begun, which is lost if no runner goes on with it, attempts that
 * a runner rejected without running them do not count, up to a limit.
 *
 * <p>Not thread-safe.
 */
public final class AttemptLimit {

  /** Maximum number of rejections that do not count. */
  public static final int MAX_UNCOUNTED_REJECTIONS = 3;

  private int sent;
  private int rejected;

  /** Records that the request was sent to a runner. */
  public void recordSent() {
    sent++;
  }

  /** Records that a runner rejected the request without running it. */
  public void recordRejected() {
    rejected++;
  }

  /** Returns how often the request was sent to a runner. */
  public int sent() {
    return sent;
  }

  /**
   * Returns whether another attempt is permitted.
   *
   * @param maxAttempts maximum number of attempts of the route
   * @param hasAnswerBegun whether the caller has the beginning of an answer
   */
  public boolean permitsAnother(int maxAttempts, boolean hasAnswerBegun) {
    int uncounted = hasAnswerBegun ? Math.min(rejected, MAX_UNCOUNTED_REJECTIONS) : 0;
    return sent - uncounted < maxAttempts;
  }
}
