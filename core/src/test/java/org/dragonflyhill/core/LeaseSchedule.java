package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Runs three lease keepers over one log, with pauses, slow reads and lost or late appends. */
final class LeaseSchedule {

  private static final Duration LEASE = Duration.ofSeconds(6);
  private static final int TICK_MILLIS = 100;
  private static final int NODES = 3;

  private final Random random;
  private final List<LeaseTable.LeaseRecord> log = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<LeaseTable.LeaseRecord> late = new ArrayList<>();
  private int heldTicks;

  LeaseSchedule(Random random) {
    this.random = random;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node("node-" + i));
    }
  }

  /** Returns how many ticks saw two holders. */
  int runAndCountOverlaps(int ticks) {
    int overlaps = 0;
    Instant now = Instant.EPOCH;
    for (int tick = 0; tick < ticks; tick++) {
      now = now.plusMillis(TICK_MILLIS);
      landLateAppend();
      for (Node node : nodes) {
        node.step(now);
      }
      Instant moment = now;
      long holders = nodes.stream().filter(node -> node.keeper.held(moment).isPresent()).count();
      heldTicks += holders > 0 ? 1 : 0;
      overlaps += holders > 1 ? 1 : 0;
    }
    return overlaps;
  }

  int heldTicks() {
    return heldTicks;
  }

  private void landLateAppend() {
    if (!late.isEmpty() && random.nextInt(10) == 0) {
      log.add(late.removeFirst());
    }
  }

  private final class Node {

    private final LeaseKeeper keeper;
    private int read;
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
      int upTo = random.nextInt(4) == 0 ? log.size() : Math.min(log.size(), read + 1);
      while (read < upTo) {
        keeper.observed(read, log.get(read), now);
        read++;
      }
      keeper.next(now, random.nextInt(NODES)).ifPresent(this::append);
    }

    private void append(LeaseTable.LeaseRecord record) {
      switch (random.nextInt(6)) {
        case 0 -> keeper.notAppended();
        case 1 -> late.add(record);
        default -> log.add(record);
      }
    }
  }
}
