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
 * Holds the requests that wait for a slot and resumes them in the order that {@link Admission}
 * decides.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class AdmissionController implements AutoCloseable {

  private static final Duration QUEUE_CHECK_INTERVAL = Duration.ofMillis(20);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Admission admission;
  private final SlotSource slots;
  private final InstantSource clock;
  private final Map<String, Sinks.One<Optional<Refusal>>> waitingSinks = new HashMap<>();
  private Disposable checkSubscription = () -> {};

  /**
   * Creates a controller; {@link #start} starts its periodic check of the queue.
   *
   * @param limits limits of the admission control
   * @param slots returns how many requests may run concurrently
   * @param metrics registry for the gauges
   * @param clock source of the current time
   */
  public AdmissionController(
      Admission.Limits limits, SlotSource slots, NodeMetrics metrics, InstantSource clock) {
    this.admission = new Admission(limits);
    this.slots = slots;
    this.clock = clock;
    metrics.registerGauge("admission.waiting", this::waiting);
    metrics.registerGauge("admission.running", this::running);
  }

  /**
   * Starts the periodic check of waiting requests, which is needed because the number of slots
   * changes and deadlines pass without a call to this controller.
   */
  public synchronized void start() {
    checkSubscription =
        Flux.interval(QUEUE_CHECK_INTERVAL)
            .onBackpressureDrop()
            .subscribe(tick -> admitAndExpire());
  }

  /** Emits a refusal, or an empty optional as soon as the request may run. */
  public Mono<Optional<Refusal>> admit(Admission.Request request) {
    return Mono.defer(() -> submit(request));
  }

  /**
   * Records the end of a request and admits waiting ones. Must be called however the request ended,
   * and whether it was running or still waiting.
   */
  public void release(String requestId, String pool) {
    List<Wakeup> wakeups;
    synchronized (this) {
      Instant now = clock.instant();
      waitingSinks.remove(requestId);
      admission.release(requestId, now);
      wakeups = admitWaiting(pool, now);
    }
    wakeups.forEach(Wakeup::run);
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
    checkSubscription.dispose();
  }

  private synchronized Mono<Optional<Refusal>> submit(Admission.Request request) {
    Instant now = clock.instant();
    return switch (admission.offer(request, slots.slots(request.pool(), now), now)) {
      case Admission.Admitted admitted -> Mono.just(Optional.empty());
      case Admission.Refused refused -> Mono.just(Optional.of(refused.refusal()));
      case Admission.Queued queued -> {
        Sinks.One<Optional<Refusal>> sink = Sinks.one();
        waitingSinks.put(request.id(), sink);
        // An admitted request resumes on another thread: if it ended at once and its release
        // admitted the next request on the same stack, the calls would nest without limit.
        yield sink.asMono().publishOn(Schedulers.parallel());
      }
    };
  }

  private void admitAndExpire() {
    List<Wakeup> wakeups = new ArrayList<>();
    synchronized (this) {
      if (admission.waiting() == 0) {
        return;
      }
      Instant now = clock.instant();
      Refusal expired =
          Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed in the queue")
              .withRetryAfter(RETRY_AFTER);
      admission.expire(now).forEach(id -> wake(id, Optional.of(expired), wakeups));
      admission.waitingPools().forEach(pool -> wakeups.addAll(admitWaiting(pool, now)));
    }
    wakeups.forEach(Wakeup::run);
  }

  private List<Wakeup> admitWaiting(String pool, Instant now) {
    List<Wakeup> wakeups = new ArrayList<>();
    admission
        .admit(pool, slots.slots(pool, now), now)
        .forEach(id -> wake(id, Optional.empty(), wakeups));
    return wakeups;
  }

  private void wake(String id, Optional<Refusal> refusal, List<Wakeup> wakeups) {
    Optional.ofNullable(waitingSinks.remove(id))
        .ifPresent(sink -> wakeups.add(new Wakeup(sink, refusal)));
  }

  /** Source of the number of slots. */
  public interface SlotSource {

    /** Returns how many requests of a pool this node may run concurrently. */
    int slots(String pool, Instant now);
  }

  /**
   * A decision that is emitted after the lock is released.
   *
   * @param sink sink of the waiting request
   * @param refusal the refusal, or empty if the request is admitted
   */
  private record Wakeup(Sinks.One<Optional<Refusal>> sink, Optional<Refusal> refusal) {
    void run() {
      sink.tryEmitValue(refusal);
    }
  }
}
