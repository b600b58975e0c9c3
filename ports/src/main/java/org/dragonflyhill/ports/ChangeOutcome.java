package org.dragonflyhill.ports;

import java.util.List;

/**
 * What became of a change that an operator submitted.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ChangeOutcome {

  /** Returns the id of the change. */
  String changeId();

  /**
   * The log holds the change and the fold took it.
   *
   * @param changeId id of the change
   * @param offset its offset, which is the version of the configuration from then on
   */
  record Accepted(String changeId, long offset) implements ChangeOutcome {}

  /**
   * The log holds the change and every node rejects it.
   *
   * @param changeId id of the change
   * @param offset its offset
   * @param reasons the reasons against it
   */
  record Rejected(String changeId, long offset, List<String> reasons) implements ChangeOutcome {
    /** Copies the list so that the record stays immutable. */
    public Rejected {
      reasons = List.copyOf(reasons);
    }
  }

  /**
   * The change is not in force and never will be; it may be submitted again.
   *
   * @param changeId id of the change
   * @param detail what happened
   */
  record NotAppended(String changeId, String detail) implements ChangeOutcome {}

  /**
   * The log may hold the change and could not be asked; its id finds it later.
   *
   * @param changeId id of the change
   * @param detail what happened
   */
  record Unknown(String changeId, String detail) implements ChangeOutcome {}
}
