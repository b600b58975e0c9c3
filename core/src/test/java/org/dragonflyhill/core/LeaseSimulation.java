package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates three nodes with a {@link LeaseKeeper} each on a shared log, with random pauses, slow
 * reads, lost appends and delayed appends.
 */
final class LeaseSimulation {

  private static final Duration LEASE = Duration.ofSeconds(6);
  private static final int TICK_MILLIS = 100;
  private static final int NODES = 3;

  private final Random random;
  private final List<LeaseTable.LeaseRecord> log = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<LeaseTable.LeaseRecord> delayedAppends = new ArrayList<>();
  private int heldTicks;

  LeaseSimulation(Random random) {
    this.random = random;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node("node-" + i));
    }
  }

  /** Runs the simulation and returns the number of ticks at which several nodes held the lease. */
  int runAndCountOverlaps(int ticks) {
    int overlaps = 0;
    Instant now = Instant.EPOCH;
    for (int tick = 0; tick < ticks; tick++) {
      now = now.plusMillis(TICK_MILLIS);
      deliverDelayedAppend();
      for (Node node : nodes) {
        node.step(now);
      }
      Instant tickTime = now;
      long holders =
          nodes.stream().filter(node -> node.keeper.heldLease(tickTime).isPresent()).count();
      heldTicks += holders > 0 ? 1 : 0;
      overlaps += holders > 1 ? 1 : 0;
    }
    return overlaps;
  }

  int heldTicks() {
    return heldTicks;
  }

  private void deliverDelayedAppend() {
    if (!delayedAppends.isEmpty() && random.nextInt(10) == 0) {
      log.add(delayedAppends.removeFirst());
    }
  }

  private final class Node {

    private final LeaseKeeper keeper;
    private int nextOffset;
    private int pausedTicks;

    Node(String name) {
      keeper = new LeaseKeeper("orders", name, LEASE, Instant.EPOCH);
    }

    void step(Instant now) {
      if (pausedTicks > 0) {
        pausedTicks--;
        return;
      }
      if (random.nextInt(100) == 0) {
        pausedTicks = random.nextInt(150);
      }
      int endOffset = random.nextInt(4) == 0 ? log.size() : Math.min(log.size(), nextOffset + 1);
      while (nextOffset < endOffset) {
        keeper.onRecord(nextOffset, log.get(nextOffset), now);
        nextOffset++;
      }
      keeper.nextRecord(now, random.nextInt(NODES)).ifPresent(this::append);
    }

    private void append(LeaseTable.LeaseRecord record) {
      switch (random.nextInt(6)) {
        case 0 -> keeper.discardPending();
        case 1 -> delayedAppends.add(record);
        default -> log.add(record);
      }
    }
  }
}
