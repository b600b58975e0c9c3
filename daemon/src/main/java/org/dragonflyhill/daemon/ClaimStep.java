package org.dragonflyhill.daemon;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The steps between a claim and its answer, as the fault switch names them. Thread-safe. */
public enum ClaimStep {
  /** The log took the claim. */
  AFTER_CLAIM_APPEND,
  /** The claim was read back as the first live one. */
  AFTER_CLAIM_WON,
  /** The last check before the first byte is about to be made. */
  BEFORE_DISPATCH,
  /** The endpoint answered. */
  AFTER_DISPATCH,
  /** The outcome is about to be appended. */
  BEFORE_SETTLE,
  /** The log took the outcome. */
  AFTER_SETTLE;

  /** Returns the name in settings, such as {@code after-claim-won}. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Finds a step by its name in settings. */
  public static Optional<ClaimStep> fromSettingName(String name) {
    return Arrays.stream(values()).filter(step -> step.settingName().equals(name)).findFirst();
  }
}
