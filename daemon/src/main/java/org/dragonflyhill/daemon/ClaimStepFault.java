package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.ports.LogEvent;

/**
 * Fault switch for tests: ends or pauses the process at one step of a non-repeatable request.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class ClaimStepFault {

  /** No failure. */
  public static final ClaimStepFault NONE = new ClaimStepFault(Optional.empty(), Duration.ZERO);

  private static final Logger LOGGER = LogManager.getLogger(ClaimStepFault.class);
  private static final int EXIT_CODE = 137;

  private final Optional<ClaimStep> step;
  private final Duration pause;

  /**
   * Creates a switch.
   *
   * @param step where it acts; empty for nowhere
   * @param pause how long the thread is held there; zero ends the process instead
   */
  public ClaimStepFault(Optional<ClaimStep> step, Duration pause) {
    this.step = step;
    this.pause = pause;
  }

  /** Acts if a request is at the step that was set. */
  public void onStep(ClaimStep currentStep) {
    if (step.filter(currentStep::equals).isEmpty()) {
      return;
    }
    LogEvent.of("fault_step_reached").with("step", currentStep.settingName()).warn(LOGGER);
    if (pause.isZero()) {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
    long endNanos = System.nanoTime() + pause.toNanos();
    for (long leftNanos = pause.toNanos();
        leftNanos > 0;
        leftNanos = endNanos - System.nanoTime()) {
      LockSupport.parkNanos(leftNanos);
    }
  }
}
