package org.dragonflyhill.standins;

/** Holds the failures in force and counts down those that are limited. Thread-safe. */
final class FaultInjector {

  private Faults activeFaults = Faults.NONE;
  private int remainingDrops;
  private int remainingRefusals;

  synchronized Faults faults() {
    return activeFaults;
  }

  synchronized void setFaults(Faults faults) {
    activeFaults = faults;
    remainingDrops = faults.dropAnswers();
    remainingRefusals = faults.refuse();
  }

  /** Returns whether the next answer is to be dropped, and counts it. */
  synchronized boolean consumeDrop() {
    if (remainingDrops <= 0) {
      return false;
    }
    remainingDrops--;
    return true;
  }

  /** Returns whether the next call is to be refused, and counts it. */
  synchronized boolean consumeRefusal() {
    if (remainingRefusals > 0) {
      remainingRefusals--;
      return true;
    }
    return remainingRefusals < 0;
  }
}
