package org.dragonflyhill.standins;

/** Holds the failures in force and counts down those that are limited. Thread-safe. */
final class FaultSwitch {

  private Faults faults = Faults.NONE;
  private int dropsLeft;
  private int refusalsLeft;

  synchronized Faults faults() {
    return faults;
  }

  synchronized void set(Faults wanted) {
    faults = wanted;
    dropsLeft = wanted.dropAnswers();
    refusalsLeft = wanted.refuse();
  }

  /** Returns whether the next answer is to be dropped, and counts it. */
  synchronized boolean takeDrop() {
    if (dropsLeft <= 0) {
      return false;
    }
    dropsLeft--;
    return true;
  }

  /** Returns whether the next call is to be refused, and counts it. */
  synchronized boolean takeRefusal() {
    if (refusalsLeft > 0) {
      refusalsLeft--;
      return true;
    }
    return refusalsLeft < 0;
  }
}
