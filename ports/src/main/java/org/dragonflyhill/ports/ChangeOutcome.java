package org.dragonflyhill.ports;

import java.util.List;

/**
 * Outcome of a configuration change that an operator submitted.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ChangeOutcome {

  /** Returns the id of the change. */
  String changeId();

  /**
   * The log contains the change and it was accepted.
   *
   * @param changeId id of the change
   * @param offset offset of the change record, which becomes the version of the configuration
   */
  record Accepted(String changeId, long offset) implements ChangeOutcome {}

  /**
   * The log contains the change and every node rejects it.
   *
   * @param changeId id of the change
   * @param offset offset of the change record
   * @param reasons why it was rejected
   */
  record Rejected(String changeId, long offset, List<String> reasons) implements ChangeOutcome {
    /** Copies the list to keep the record immutable. */
    public Rejected {
      reasons = List.copyOf(reasons);
    }
  }

  /**
   * The change did not take effect and never will. It is safe to submit it again.
   *
   * @param changeId id of the change
   * @param detail what happened
   */
  record NotAppended(String changeId, String detail) implements ChangeOutcome {}

  /**
   * The log may contain the change, but reading the log did not show its outcome, for example
   * because the log was unavailable. The outcome can be looked up later by the id of the change.
   *
   * @param changeId id of the change
   * @param detail what happened
   */
  record Unknown(String changeId, String detail) implements ChangeOutcome {}
}
