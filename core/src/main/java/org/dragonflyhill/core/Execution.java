package org.dragonflyhill.core;

/** Whether a request was run; part of every error response. Thread-safe. */
public enum Execution {
  /** The request was not run and will not be. The caller may send it again. */
  NO("no"),
  /** The request may have been run. */
  UNKNOWN("unknown"),
  /** The request was run. */
  YES("yes");

  private final String code;

  Execution(String code) {
    this.code = code;
  }

  /** Returns the value used in error responses. */
  public String code() {
    return code;
  }
}
