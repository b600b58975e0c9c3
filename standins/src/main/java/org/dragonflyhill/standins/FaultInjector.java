package org.dragonflyhill.standins;

/** Holds the active faults and counts down those limited to a number of calls. Thread-safe. */
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

  /** Returns whether to drop the response of this call, and decrements the remaining drops. */
  synchronized boolean consumeDrop() {
    if (remainingDrops <= 0) {
      return false;
    }
    remainingDrops--;
    return true;
  }

  /** Returns whether to refuse this call, and decrements the remaining refusals if limited. */
  synchronized boolean consumeRefusal() {
    if (remainingRefusals > 0) {
      remainingRefusals--;
      return true;
    }
    return remainingRefusals < 0;
  }
}
