package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dragonflyhill.core.LoadEstimate;
import org.dragonflyhill.core.PieceIndex;

/**
 * State of runners and stores as seen by one node: reports and cache events, which arrive late and
 * may be lost, and the node's own requests.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class NodeView {

  private static final Duration INITIAL_SLOT_TIME = Duration.ofSeconds(3);
  private static final double SLOT_TIME_WEIGHT = 0.05;

  private final String zone;
  private final PieceIndex index = new PieceIndex();
  private final List<LoadEstimate> estimates = new ArrayList<>();
  private final List<FakeRunner.Load> loads = new ArrayList<>();
  private final List<LinkView> links = new ArrayList<>();
  private final int[] inFlight;
  private final Set<Integer> failedRunners = new HashSet<>();
  private final Set<Integer> failedStores = new HashSet<>();
  private final OrganisationUsage usage = new OrganisationUsage();
  private Duration slotTime = INITIAL_SLOT_TIME;
  private int roundRobinCounter;

  /** Creates the view of a node that has received no report yet. */
  NodeView(String zone, Deployment deployment) {
    this.zone = zone;
    Deployment.Engine engine = deployment.engine();
    var capacity =
        new LoadEstimate.Capacity(
            engine.slots(),
            deployment.reservedSlots(),
            engine.prefillTokensPerSecond(),
            deployment.nodes());
    for (int runner = 0; runner < deployment.runners(); runner++) {
      estimates.add(new LoadEstimate(capacity));
      loads.add(new FakeRunner.Load(0, 0, 0, 0));
    }
    inFlight = new int[deployment.runners()];
    for (int store = 0; store < deployment.stores(); store++) {
      links.add(new LinkView(deployment.storeLinkBytesPerSecond()));
    }
  }

  String zone() {
    return zone;
  }

  OrganisationUsage usage() {
    return usage;
  }

  /** Returns a counter that grows with each call, for choosing runners in turn. */
  int nextRoundRobinIndex() {
    return roundRobinCounter++;
  }

  boolean isRunnerUsable(int runner) {
    return !failedRunners.contains(runner);
  }

  boolean isStoreUsable(int store) {
    return !failedStores.contains(store);
  }

  FakeRunner.Load load(int runner) {
    return loads.get(runner);
  }

  int inFlight(int runner) {
    return inFlight[runner];
  }

  /** Returns the expected wait at a runner. */
  Duration queueWait(int runner, boolean isUrgent, long nowMicros) {
    return estimates.get(runner).queueWait(isUrgent, slotTime, instant(nowMicros));
  }

  /**
   * Returns the index of the first piece, from a start index on, that a holder lacks according to
   * the piece index, or the number of pieces if it has them all.
   */
  int prefixEnd(String holder, List<String> pieces, int start) {
    int end = start;
    while (end < pieces.size() && this.index.holds(holder, pieces.get(end))) {
      end++;
    }
    return end;
  }

  boolean holds(String holder, String piece) {
    return index.holds(holder, piece);
  }

  void updateLoad(int runner, FakeRunner.Load load) {
    loads.set(runner, load);
    estimates
        .get(runner)
        .update(
            new LoadEstimate.Report(
                load.running(), load.queued(), load.queuedTokens(), instant(load.atMicros())));
  }

  void recordSent(int runner, long computeTokens, boolean isUrgent, long nowMicros) {
    inFlight[runner]++;
    estimates.get(runner).recordSent(computeTokens, isUrgent, instant(nowMicros));
  }

  /** Updates the moving average of the time for which a request holds its slot. */
  void recordSlotTime(long micros) {
    double nanos = slotTime.toNanos() * (1 - SLOT_TIME_WEIGHT) + micros * 1e3 * SLOT_TIME_WEIGHT;
    slotTime = Duration.ofNanos((long) nanos);
  }

  void updateLink(int store, long bytesPerSecond, long waitMicros, long atMicros) {
    links.get(store).update(bytesPerSecond, waitMicros, atMicros);
  }

  void recordImport(int store, long bytes, long nowMicros) {
    links.get(store).recordImport(bytes, nowMicros);
  }

  /** Returns the last reported bandwidth of a store's link. */
  long linkBytesPerSecond(int store) {
    return links.get(store).bytesPerSecond();
  }

  /** Returns the expected wait for a store's link, in microseconds. */
  long linkWaitMicros(int store, long nowMicros) {
    return links.get(store).waitMicros(nowMicros);
  }

  void recordEnd(int runner) {
    inFlight[runner]--;
  }

  void updateHolder(String holder, List<String> added, List<String> removed) {
    added.forEach(piece -> index.add(holder, piece));
    removed.forEach(piece -> index.remove(holder, piece));
  }

  void replaceHolder(String holder, List<String> contents) {
    index.replace(holder, contents);
  }

  void markRunnerFailed(int runner, String name) {
    failedRunners.add(runner);
    index.removeHolder(name);
  }

  void markStoreFailed(int store, String name) {
    failedStores.add(store);
    index.removeHolder(name);
  }

  private static Instant instant(long micros) {
    return Instant.ofEpochSecond(micros / 1_000_000, micros % 1_000_000 * 1_000);
  }
}
