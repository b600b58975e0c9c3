package org.dragonflyhill.standins;

/**
 * Failures that a stand-in causes, as set over its admin port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param delayMillis wait before each answer, in milliseconds
 * @param dropAnswers number of next calls whose effect happens but whose connection is cut
 * @param refuse number of next calls that are refused without effect, -1 for all
 * @param eventGapEvery one of this many cache events is lost, 0 for none
 * @param eventLagMillis age that a cache event reaches before it is told, in milliseconds
 * @param loadLagMillis age of the load that is told, in milliseconds
 * @param linkBytesPerSecond bandwidth of transfers, 0 for unlimited
 * @param isDiskFull whether writes fail for want of room
 * @param cutAfterTokens tokens after which a completion's connection is cut, 0 for never
 * @param wrongWeightVersion whether completions carry another weight version than asked for
 * @param truncateReads whether pieces are returned without their last byte
 * @param ignoreFencing whether orders with an old fencing token are taken
 * @param partialWrites whether a store keeps only half of each object and cuts the connection
 * @param writeDelayMillis if above 0, a store cuts the connection of each write and does the write
 *     after this time, in milliseconds
 * @param swapReads whether a store returns another object than asked for
 * @param corruptReads whether a store returns objects with one byte changed
 * @param skipImportCheck whether a runner uses imported pieces without the check of their digest
 *     that it says it makes
 * @param reportNoImportCheck whether a runner says that it checks no imports
 * @param evictBeforePrefill whether a runner empties its cache when a completion gets its slot
 * @param duplicateEvery one of this many chunks is sent twice, 0 for none
 * @param lateEvery with one of this many chunks an earlier one comes again, 0 for none
 * @param crossedEvery before one of this many chunks comes one of another request, 0 for none
 * @param gapEvery one of this many chunks is left out, 0 for none
 * @param faultyCompletions number of next completions whose streams are faulty, 0 for all
 * @param tokenDelayMillis further time of each generated token, in milliseconds
 * @param reportsLeaving whether a runner's load reports say that it is leaving
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

  /** No failure. */
  public static final Faults NONE =
      new Faults(
          0, 0, 0, 0, 0, 0, 0, false, 0, false, false, false, false, 0, false, false, false, false,
          false, 0, 0, 0, 0, 0, 0, false, false);
}
