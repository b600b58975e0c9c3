package org.dragonflyhill.core;

/** Whether a request was run, as callers are told with each error. Thread-safe. */
public enum Execution {
  /** It was not run and will not be: a caller may send it again. */
  NO("no"),
  /** It may have been run. */
  UNKNOWN("unknown"),
  /** It was run. */
  YES("yes");

  private final String code;

  Execution(String code) {
    this.code = code;
  }

  /** Returns the word used towards callers. */
  public String code() {
    return code;
  }
}
