package org.dragonflyhill.daemon;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Steps of a claimed request at which {@link ClaimStepFault} can act. Thread-safe. */
public enum ClaimStep {
  /** The log has accepted the claim. */
  AFTER_CLAIM_APPEND,
  /** The claim was read from the log as the winning claim. */
  AFTER_CLAIM_WON,
  /** The last check before dispatching the request is about to be made. */
  BEFORE_DISPATCH,
  /** The dispatch of the request has ended, with an answer or an error. */
  AFTER_DISPATCH,
  /** The outcome is about to be appended. */
  BEFORE_SETTLE,
  /** The log has accepted the outcome. */
  AFTER_SETTLE;

  /** Returns the name in settings, such as {@code after-claim-won}. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the step with a name in settings. */
  public static Optional<ClaimStep> fromSettingName(String name) {
    return Arrays.stream(values()).filter(step -> step.settingName().equals(name)).findFirst();
  }
}
