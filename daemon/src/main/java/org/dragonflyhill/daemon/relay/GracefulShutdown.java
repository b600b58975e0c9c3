package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

/**
 * Stops a node without cutting a request: not ready at once; no new requests once the balancer has
 * moved on; exit when nothing runs or the time is up.
 */
public final class GracefulShutdown {

  /** The balancer asks once a second and moves on after two misses, by the users' pages. */
  private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2_900);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Time left before the kill in which the process still ends by itself. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

  private final EventLoop loop;
  private final RelayServer server;
  private final RelayState state;
  private final Duration gracePeriod;
  private final Runnable exit;
  private Instant startedAt = Instant.MAX;

  /**
   * Prepares a stop.
   *
   * @param loop event loop
   * @param server takes the callers' requests
   * @param state told that the node stops
   * @param gracePeriod time that the platform gives
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

  /** Begins the stop; a second call changes nothing. */
  public void start() {
    if (state.isStopping()) {
      return;
    }
    startedAt = state.now();
    state.markStopping();
    state.log().info("node_stopping", event -> event.with("running", server.runningRequests()));
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void check() {
    Duration elapsed = Duration.between(startedAt, state.now());
    if (elapsed.compareTo(LOAD_BALANCER_DELAY) < 0) {
      return;
    }
    // A request taken later could not be finished for sure, so its caller is sent elsewhere.
    server.refuseNewRequests();
    server.closeIdleConnections();
    boolean isTimeUp = elapsed.compareTo(gracePeriod.minus(EXIT_MARGIN)) >= 0;
    if (server.runningRequests() == 0 || isTimeUp) {
      state
          .log()
          .info(
              "node_stopped",
              event -> event.with("running", server.runningRequests()).with("clean", !isTimeUp));
      exit.run();
    }
  }
}
