package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.ports.LogEvent;

/**
 * Fault injection for tests: halts the process or pauses the current thread at one step of a
 * non-repeatable request.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class ClaimStepFault {

  /** Injects no fault. */
  public static final ClaimStepFault NONE = new ClaimStepFault(Optional.empty(), Duration.ZERO);

  private static final Logger LOGGER = LogManager.getLogger(ClaimStepFault.class);
  private static final int EXIT_CODE = 137;

  private final Optional<ClaimStep> step;
  private final Duration pause;

  /**
   * Creates a fault.
   *
   * @param step step at which the fault occurs; empty for never
   * @param pause how long the thread pauses; if zero, the process is halted instead
   */
  public ClaimStepFault(Optional<ClaimStep> step, Duration pause) {
    this.step = step;
    this.pause = pause;
  }

  /** Triggers the fault if the given step is the configured one. */
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
