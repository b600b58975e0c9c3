package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.dragonflyhill.core.relay.CrashReport;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.RateLimitReport;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.core.relay.WeightsDeadline;
import org.dragonflyhill.daemon.MonotonicClock;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the state takes over from the reports of other nodes. */
public final class RelayStateTest {

  private RelayState state;

  /** Creates a state with one runner. */
  @BeforeMethod
  public void createState() {
    MonotonicClock clock = new MonotonicClock();
    state =
        new RelayState(
            "n1",
            "z1",
            new SharedRetryBudget.Limits(Duration.ofSeconds(10), 0.2, 52, 0.6),
            new WeightsDeadline(Duration.ofSeconds(6)),
            clock,
            new DecisionLog(clock),
            new NodeMetrics());
    listRunner(1);
  }

  private void listRunner(long startedAtMillis) {
    state.addOrUpdateRunner(
        new RunnerInfo(
            "r1",
            "s",
            new Endpoint("10.0.0.1", 80),
            "z1",
            8,
            false,
            Map.of("m", 1L),
            Optional.empty(),
            startedAtMillis));
  }

  private static PeerReport report(long sequence, Map<String, Long> drainingRunners) {
    return report(sequence, drainingRunners, Map.of());
  }

  private static PeerReport report(
      long sequence, Map<String, Long> drainingRunners, Map<String, RateLimitReport> rateLimits) {
    return new PeerReport(
        "front-2",
        "z1",
        1,
        sequence,
        true,
        false,
        Map.of(),
        Set.of(),
        drainingRunners,
        Map.of(),
        Map.of(),
        Map.of(),
        0,
        List.of(),
        OptionalLong.empty(),
        CrashReport.EMPTY,
        Map.of(),
        rateLimits);
  }

  /** A runner that a peer knows to be draining gets no requests, but its next process does. */
  @Test
  public void peersTellWhichRunnersAreDraining() {
    state.recordPeerReport(report(1, Map.of("r1", 7L, "unknown", 1L)));
    assertEquals(state.reachable("s").size(), 1, "another process of the runner");
    state.recordPeerReport(report(2, Map.of("r1", 1L)));
    assertEquals(state.reachable("s").size(), 0);
    listRunner(1);
    assertEquals(state.reachable("s").size(), 0, "the same process, listed again");
    listRunner(2);
    assertEquals(state.reachable("s").size(), 1);
    state.recordPeerReport(report(3, Map.of("r1", 1L)));
    assertEquals(state.reachable("s").size(), 1, "a late report of the process before");
  }

  /**
   * Guards against requests to an evacuated zone, and against a burst to its runners at the end:
   * they may have been replaced meanwhile.
   */
  @Test
  public void evacuatedRunnersGetNothingAndReturnCold() {
    configureColdStart();
    state.beginEvacuation("z2");
    assertEquals(state.permitted("s").size(), 1);
    state.beginEvacuation("z1");
    assertEquals(state.permitted("s").size(), 0);
    assertEquals(state.backoffLeft("s"), Optional.empty());
    state.endEvacuation("z1");
    assertEquals(state.coldRunners().count(), 1);
    assertEquals(state.permitted("s").size(), 0, "this node is not registered");
    assertTrue(state.rateLimitForecast("s").isPresent());
  }

  /** A runner that could not be reached may be another process, which is cold. */
  @Test
  public void runnerReachedAgainCountsAsCold() {
    configureColdStart();
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    state.recordConnectAttempt(endpoint, true);
    assertEquals(state.coldRunners().count(), 0);
    state.runners().find("r1").orElseThrow().eject(state.now());
    state.recordConnectAttempt(endpoint, true);
    assertEquals(state.coldRunners().count(), 1);
  }

  /** Without limits in the configuration nothing holds requests back from a cold runner. */
  @Test
  public void runnersAreNotHeldBackWithoutConfiguredLimits() {
    state.beginEvacuation("z1");
    state.endEvacuation("z1");
    assertEquals(state.coldRunners().count(), 0);
    assertEquals(state.permitted("s").size(), 1);
  }

  /**
   * Guards against entries of cold runners that count as new with each heartbeat: every node would
   * have to read the host list itself.
   */
  @Test
  public void onlyTheStartOfColdTimeIsNews() {
    configureColdStart();
    assertTrue(listCold(2_000));
    assertFalse(listCold(800));
    assertFalse(listCold(0));
  }

  private boolean listCold(long millis) {
    return state.addOrUpdateRunner(
        new RunnerInfo(
            "r1",
            "s",
            new Endpoint("10.0.0.1", 80),
            "z1",
            8,
            false,
            Map.of("m", 1L),
            Optional.empty(),
            1,
            Duration.ofMillis(millis)));
  }

  private void configureColdStart() {
    var coldStart = Optional.of(new Service.ColdStart(Duration.ofSeconds(3), 14));
    state.applyConfiguration(
        new RelayConfiguration(
            1,
            List.of(),
            List.of(new Service.Pool("s", 10, Optional.empty(), coldStart)),
            List.of(),
            RelayConfiguration.CallerLimits.DEFAULT));
  }

  /** A rate limit that a peer knows holds here too, for that process of the runner alone. */
  @Test
  public void peersTellRateLimits() {
    state.recordPeerReport(report(1, Map.of(), limitOf(7, OptionalDouble.of(4))));
    assertEquals(state.permitted("s").size(), 1, "another process of the runner");
    state.recordPeerReport(report(2, Map.of(), limitOf(1, OptionalDouble.of(4))));
    assertEquals(state.permitted("s").size(), 0, "the share starts without a token");
    assertTrue(state.rateLimitForecast("s").isPresent());
    state.recordPeerReport(report(1, Map.of(), limitOf(1, OptionalDouble.empty())));
    assertEquals(state.permitted("s").size(), 0, "an overtaken report");
    state.recordPeerReport(report(3, Map.of(), limitOf(1, OptionalDouble.empty())));
    assertEquals(state.permitted("s").size(), 1);
    assertTrue(state.rateLimitForecast("s").isEmpty());
  }

  private static Map<String, RateLimitReport> limitOf(
      long startedAtMillis, OptionalDouble perSecond) {
    return Map.of("r1", new RateLimitReport(startedAtMillis, perSecond, Duration.ZERO));
  }
}
