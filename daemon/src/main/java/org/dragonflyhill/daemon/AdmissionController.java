package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.Admission;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/**
 * Keeps the requests that wait for a slot and wakes them in the order that {@link Admission}
 * decides.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class AdmissionController implements AutoCloseable {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Admission admission;
  private final SlotSource slots;
  private final InstantSource clock;
  private final Map<String, Sinks.One<Optional<Refusal>>> waiting = new HashMap<>();
  private Disposable checking = () -> {};

  /**
   * Creates a controller that does not look after waiting requests yet.
   *
   * @param limits sizes
   * @param slots tells how many requests may run
   * @param metrics takes the gauges
   * @param clock present time
   */
  public AdmissionController(
      Admission.Limits limits, SlotSource slots, NodeMetrics metrics, InstantSource clock) {
    this.admission = new Admission(limits);
    this.slots = slots;
    this.clock = clock;
    metrics.gauge("admission.waiting", this::waiting);
    metrics.gauge("admission.running", this::running);
  }

  /** Starts to look after waiting requests: slots come and go, and deadlines pass. */
  public synchronized void start() {
    checking = Flux.interval(CHECK_INTERVAL).onBackpressureDrop().subscribe(tick -> check());
  }

  /** Returns a refusal, or empty once the request may run. */
  public Mono<Optional<Refusal>> admit(Admission.Request request) {
    return Mono.defer(() -> offer(request));
  }

  /** Notes the end of a request, however it ended, and wherever it was. */
  public void release(String requestId, String pool) {
    List<Wake> wakes;
    synchronized (this) {
      Instant now = clock.instant();
      waiting.remove(requestId);
      admission.release(requestId, now);
      wakes = admitted(pool, now);
    }
    wakes.forEach(Wake::run);
  }

  /** Returns the number of waiting requests. */
  public synchronized int waiting() {
    return admission.waiting();
  }

  /** Returns the number of running requests. */
  public synchronized int running() {
    return admission.running();
  }

  @Override
  public synchronized void close() {
    checking.dispose();
  }

  private synchronized Mono<Optional<Refusal>> offer(Admission.Request request) {
    Instant now = clock.instant();
    return switch (admission.offer(request, slots.slots(request.pool(), now), now)) {
      case Admission.Admitted admitted -> Mono.just(Optional.empty());
      case Admission.Refused refused -> Mono.just(Optional.of(refused.refusal()));
      case Admission.Queued queued -> {
        Sinks.One<Optional<Refusal>> sink = Sinks.one();
        waiting.put(request.id(), sink);
        // A woken request goes on elsewhere, so that chains of quick ones cannot nest.
        yield sink.asMono().publishOn(Schedulers.parallel());
      }
    };
  }

  private void check() {
    List<Wake> wakes = new ArrayList<>();
    synchronized (this) {
      if (admission.waiting() == 0) {
        return;
      }
      Instant now = clock.instant();
      Refusal late =
          Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed in the queue")
              .withRetryAfter(RETRY_AFTER);
      admission.expire(now).forEach(id -> wake(id, Optional.of(late), wakes));
      admission.waitingPools().forEach(pool -> wakes.addAll(admitted(pool, now)));
    }
    wakes.forEach(Wake::run);
  }

  private List<Wake> admitted(String pool, Instant now) {
    List<Wake> wakes = new ArrayList<>();
    admission
        .admit(pool, slots.slots(pool, now), now)
        .forEach(id -> wake(id, Optional.empty(), wakes));
    return wakes;
  }

  private void wake(String id, Optional<Refusal> refusal, List<Wake> wakes) {
    Optional.ofNullable(waiting.remove(id)).ifPresent(sink -> wakes.add(new Wake(sink, refusal)));
  }

  /** Tells how many requests may run. */
  public interface SlotSource {

    /** Returns how many requests this node may run at once on a pool. */
    int slots(String pool, Instant now);
  }

  /**
   * A decision to pass on outside the lock.
   *
   * @param sink who waits for it
   * @param refusal the decision
   */
  private record Wake(Sinks.One<Optional<Refusal>> sink, Optional<Refusal> refusal) {
    void run() {
      sink.tryEmitValue(refusal);
    }
  }
}
