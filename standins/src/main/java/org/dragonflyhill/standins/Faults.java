package org.dragonflyhill.standins;

/**
 * Faults that a stand-in injects, as set through its admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param delayMillis delay before each response, in milliseconds
 * @param dropAnswers number of calls that are executed but whose connection is closed without a
 *     response
 * @param refuse number of calls that are refused without being executed, -1 for all
 * @param eventGapEvery loses one out of this many cache events, 0 for none
 * @param eventLagMillis minimum age of reported cache events, in milliseconds
 * @param loadLagMillis age of the reported load, in milliseconds; no stand-in implements it yet
 * @param linkBytesPerSecond bandwidth of transfers in bytes per second, 0 for unlimited
 * @param isDiskFull whether writes fail for lack of space
 * @param cutAfterTokens number of chunks after which a completion's connection is closed, 0 for
 *     never
 * @param wrongWeightVersion whether completions use a weight version other than the requested one
 * @param truncateReads whether a store returns objects without their last byte
 * @param ignoreFencing whether a runner accepts orders with a stale fencing token
 * @param partialWrites whether a store keeps only the first half of each object and closes the
 *     connection
 * @param writeDelayMillis if above 0, a store closes the connection of each write and applies the
 *     write after this delay, in milliseconds
 * @param swapReads whether a store returns an object other than the requested one
 * @param corruptReads whether a store returns objects with one bit flipped
 * @param skipImportCheck whether a runner uses imported pieces whose length or digest is wrong
 *     although it reports that it verifies imports
 * @param reportNoImportCheck whether a runner reports that it does not verify imports
 * @param evictBeforePrefill whether a runner clears its cache when a completion gets its slot
 * @param duplicateEvery sends one out of this many chunks twice, 0 for none
 * @param lateEvery repeats an earlier chunk after one out of this many chunks, 0 for none
 * @param crossedEvery inserts a chunk of another request before one out of this many chunks, 0 for
 *     none
 * @param gapEvery omits one out of this many chunks, 0 for none
 * @param faultyCompletions number of completions whose streams are faulty, 0 for all
 * @param tokenDelayMillis additional time per generated token, in milliseconds
 * @param reportsLeaving whether a runner's load reports state that it is leaving
 * @param refusesLeaving whether a runner refuses completions because it is leaving
 */
public record Faults(
    long delayMillis,
    int dropAnswers,
    int refuse,
    int eventGapEvery,
    long eventLagMillis,
    long loadLagMillis,
    long linkBytesPerSecond,
    boolean isDiskFull,
    int cutAfterTokens,
    boolean wrongWeightVersion,
    boolean truncateReads,
    boolean ignoreFencing,
    boolean partialWrites,
    long writeDelayMillis,
    boolean swapReads,
    boolean corruptReads,
    boolean skipImportCheck,
    boolean reportNoImportCheck,
    boolean evictBeforePrefill,
    int duplicateEvery,
    int lateEvery,
    int crossedEvery,
    int gapEvery,
    int faultyCompletions,
    long tokenDelayMillis,
    boolean reportsLeaving,
    boolean refusesLeaving) {

  /** No faults. */
  public static final Faults NONE =
      new Faults(
          0, 0, 0, 0, 0, 0, 0, false, 0, false, false, false, false, 0, false, false, false, false,
          false, 0, 0, 0, 0, 0, 0, false, false);
}
