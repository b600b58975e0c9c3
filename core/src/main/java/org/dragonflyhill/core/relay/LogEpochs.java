package org.dragonflyhill.core.relay;

/**
 * Tracks the epochs of the log service. A new epoch begins when the log is restored from a copy:
 * the latest records are missing then, and their offsets are given out again.
 *
 * <p>The log service numbers its epochs from 1, or from 0 if a response shows so. Here epochs are
 * counted from 0.
 *
 * <p>Not thread-safe.
 */
public final class LogEpochs {

  /** Number of the first epoch, also assumed of a response that names none. */
  public static final long FIRST_NUMBER = 1;

  /** Number of the newest epoch before the first response. */
  private static final long UNKNOWN = -1;

  private long firstNumber = FIRST_NUMBER;
  private long newestNumber = UNKNOWN;

  /** What the epoch of a response says about the log. */
  public enum Change {
    /** The epoch is the one known. */
    NONE,
    /** The log has been restored since the last response. */
    RESTORED,
    /** The response is from before the last restore, and has been overtaken by newer ones. */
    OVERTAKEN
  }

  /**
   * Records the epoch of a response.
   *
   * @param number number of the epoch as the log service has it
   */
  public Change observe(long number) {
    if (number < newestNumber) {
      return Change.OVERTAKEN;
    }
    boolean isFirst = newestNumber == UNKNOWN;
    boolean isNewer = number > newestNumber;
    firstNumber = Math.min(firstNumber, number);
    newestNumber = number;
    return isNewer && !isFirst ? Change.RESTORED : Change.NONE;
  }

  /** Returns the newest epoch, 0 before the first response. */
  public long newest() {
    return newestNumber == UNKNOWN ? 0 : newestNumber - firstNumber;
  }
}
