package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.RunnerPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests of {@link EndpointController}. */
public final class EndpointControllerTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int SLOTS = 8;

  private volatile Instant now;
  private volatile List<HostListPort.Host> hosts;
  private final Map<String, Mono<RunnerPort.Load>> loads = new ConcurrentHashMap<>();
  private final AtomicInteger polls = new AtomicInteger();
  private EndpointController endpoints;

  /** Creates a controller with two configured runners. */
  @BeforeMethod
  public void start() {
    now = START;
    hosts = List.of();
    polls.set(0);
    loads.put("a", Mono.never());
    loads.put("b", Mono.never());
    endpoints =
        new EndpointController(
            () -> List.of(runner("a"), runner("b")), () -> hosts, new Runners(), () -> now);
  }

  /** Stops the polling. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    endpoints.close();
  }

  private static Runner runner(String name) {
    return new Runner(name, "z", name, "m", SLOTS, 1, 1, true, AdministrativeState.ACTIVE);
  }

  private static Mono<RunnerPort.Load> load(int running, boolean isLeaving) {
    return Mono.just(new RunnerPort.Load(running, 0, 0, 0, isLeaving));
  }

  private boolean isUsable(String name) {
    return endpoints.isUsable(name, AdministrativeState.ACTIVE, now);
  }

  @Test
  public void endpointIsUnusableIfAnySourceSaysSo() {
    assertTrue(isUsable("a"));
    assertFalse(endpoints.isUsable("a", AdministrativeState.DRAINING, now));
    hosts =
        List.of(
            new HostListPort.Host("a", HostListPort.Role.RUNNER, "a", HostListPort.State.LEAVING));
    assertFalse(isUsable("a"));
    assertTrue(isUsable("b"));
    hosts = List.of();
    assertTrue(isUsable("a"));
  }

  @Test
  public void loadReportOfLeavingMakesEndpointUnusable() {
    loads.put("a", load(0, true));
    endpoints.start();
    Awaitility.await().until(() -> !isUsable("a"));
    assertTrue(isUsable("b"));
  }

  @Test
  public void outdatedLoadReportIsIgnored() {
    loads.put("a", load(3, false));
    endpoints.start();
    Awaitility.await().until(() -> endpoints.load("a").isPresent());
    endpoints.close();
    now = START.plus(EndpointController.MAX_LOAD_REPORT_AGE);
    assertTrue(endpoints.load("a").isEmpty());
  }

  @Test
  public void unresponsiveRunnerDoesNotDelayPollsOfOthers() {
    loads.put("b", load(1, false));
    endpoints.start();
    Awaitility.await().until(() -> polls.get() >= 4);
  }

  @Test
  public void slotsExcludeThoseUsedByOtherNodes() {
    loads.put("a", load(SLOTS, false));
    loads.put("b", load(0, false));
    endpoints.start();
    Awaitility.await()
        .until(() -> endpoints.load("a").isPresent() && endpoints.load("b").isPresent());
    int slots = endpoints.slots("m", 4, now.plusSeconds(1));
    assertEquals(slots, (int) Math.ceil((SLOTS / 4 + SLOTS) * 1.25));
    assertEquals(endpoints.slots("other", 4, now), 0);
  }

  /** Runners that report the loads set by the test. */
  private final class Runners implements RunnerPort {

    @Override
    public Flux<Event> complete(String address, CompletionRequest request) {
      return Flux.never();
    }

    @Override
    public Mono<Either<PlatformError, Load>> load(String address) {
      return loads
          .get(address)
          .doOnNext(load -> polls.incrementAndGet())
          .map(Either::<PlatformError, Load>right);
    }
  }
}
