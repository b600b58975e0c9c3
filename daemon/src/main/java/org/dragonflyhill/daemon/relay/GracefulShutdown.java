package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import org.dragonflyhill.core.relay.ShutdownAdmission;

/**
 * Shuts a node down without interrupting requests. The node reports itself as not ready at once and
 * accepts only requests that can end in time, none once the load balancer has stopped sending them.
 * It exits when no request is running. Shortly before the end of the grace period it answers those
 * that are.
 */
public final class GracefulShutdown {

  /**
   * Time until the load balancer sends no more requests. According to the platform's documentation
   * it checks readiness once a second and drops a node after two failed checks.
   */
  private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2_900);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Margin before the end of the grace period, at which running requests are answered. */
  private static final Duration END_MARGIN = Duration.ofMillis(400);

  /** Margin before the end of the grace period, so that the process exits before it is killed. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(200);

  private final EventLoop loop;
  private final RelayServer server;
  private final RelayState state;
  private final Duration gracePeriod;
  private final Runnable exit;
  private Instant startedAt = Instant.MAX;

  /**
   * Creates a shutdown that has not started.
   *
   * @param loop event loop of the node
   * @param server server that receives callers' requests
   * @param state state of the node, marked as stopping when the shutdown starts
   * @param gracePeriod time between the platform's termination signal and its kill signal
   * @param exit ends the process
   */
  public GracefulShutdown(
      EventLoop loop, RelayServer server, RelayState state, Duration gracePeriod, Runnable exit) {
    this.exit = exit;
    this.loop = loop;
    this.server = server;
    this.state = state;
    this.gracePeriod = gracePeriod;
  }

  /** Starts the shutdown. Further calls have no effect. */
  public void start() {
    if (state.isStopping()) {
      return;
    }
    startedAt = state.now();
    state.markStopping();
    server.announceShutdown(new ShutdownAdmission(startedAt.plus(gracePeriod.minus(END_MARGIN))));
    state.log().info("node_stopping", event -> event.with("running", server.runningRequests()));
    PeriodicTask.schedule(loop, CHECK_INTERVAL, state.log(), this::check);
  }

  private void check() {
    Duration elapsed = Duration.between(startedAt, state.now());
    final boolean isGraceOver = elapsed.compareTo(gracePeriod.minus(END_MARGIN)) >= 0;
    if (elapsed.compareTo(LOAD_BALANCER_DELAY) < 0 && !isGraceOver) {
      return;
    }
    server.refuseNewRequests();
    if (isGraceOver) {
      server.endRequests();
    }
    server.closeIdleConnections();
    boolean isTimeUp = elapsed.compareTo(gracePeriod.minus(EXIT_MARGIN)) >= 0;
    if (!server.isBusy() || isTimeUp) {
      state
          .log()
          .info(
              "node_stopped",
              event -> event.with("running", server.runningRequests()).with("clean", !isGraceOver));
      exit.run();
    }
  }
}
