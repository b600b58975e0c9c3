package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which requests run, which wait in a queue and which are refused.
 *
 * <p>Each pool of endpoints has an urgent and an ordinary queue; the urgent queue is served first.
 * A share of the slots and of the queue capacity is reserved for urgent requests. A request is
 * refused on arrival if, by the estimated wait, it could not start before its deadline.
 *
 * <pre>{@code
 * switch (admission.offer(request, slots, now)) {
 *   case Admission.Admitted admitted -> dispatch();
 *   case Admission.Queued queued -> waitUntilAdmitted();
 *   case Admission.Refused refused -> answer(refused.refusal());
 * }
 * admission.release(request.id(), now);
 * List<String> next = admission.admit(request.pool(), slots, now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class Admission {

  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

  private final Limits limits;
  private final TokenRateLimiter rateLimiter = new TokenRateLimiter();
  private final Map<String, Pool> pools = new HashMap<>();
  private final Map<String, Request> waiting = new LinkedHashMap<>();
  private final Map<String, Running> running = new HashMap<>();
  private int waitingOrdinary;

  /** Creates an admission control with no running or waiting requests. */
  public Admission(Limits limits) {
    this.limits = limits;
  }

  /**
   * Admits, queues or refuses a new request.
   *
   * @param request the request
   * @param slots number of requests that the pool may run concurrently; 0 if no endpoint is usable,
   *     in which case the request is admitted so that the caller gets the error for that
   * @param now the current time
   */
  public Decision offer(Request request, int slots, Instant now) {
    Pool pool = pools.computeIfAbsent(request.pool(), name -> new Pool());
    boolean canRun =
        slots <= 0 || pool.countCompeting(request) == 0 && pool.hasFreeSlot(request, slots);
    Duration wait = canRun ? Duration.ZERO : pool.estimateWait(request, slots);
    if (!canRun && isFull(request)) {
      return refuse(RefusalReason.QUEUE_FULL, "the queue of this node is full", wait);
    }
    if (now.plus(wait).isAfter(request.deadline())) {
      String detail =
          "the estimated wait of "
              + wait.toMillis()
              + " ms exceeds the time left until the deadline";
      return refuse(RefusalReason.DEADLINE_UNREACHABLE, detail, wait);
    }
    Optional<Duration> rateLimitWait =
        rateLimiter.tryTake(request.organisation(), request.tokensPerMinute(), request.work(), now);
    if (rateLimitWait.isPresent()) {
      String detail = "the organisation has reached its limit of tokens per minute";
      return refuse(RefusalReason.ORGANISATION_LIMIT, detail, rateLimitWait.get());
    }
    if (canRun) {
      start(pool, request, now);
      return new Admitted();
    }
    enqueue(pool, request);
    return new Queued();
  }

  /**
   * Admits the waiting requests of a pool that may run now.
   *
   * @param poolName name of the pool
   * @param slots number of requests that the pool may run concurrently; 0 if no endpoint is usable,
   *     in which case all waiting requests are admitted
   * @param now the current time
   * @return ids of the admitted requests, which count as running from now on
   */
  public List<String> admit(String poolName, int slots, Instant now) {
    List<String> admitted = new ArrayList<>();
    Pool pool = pools.computeIfAbsent(poolName, name -> new Pool());
    Optional<FairQueue.Item> next = pool.pollNext(slots);
    while (next.isPresent()) {
      Request request = removeWaiting(next.get().id());
      start(pool, request, now);
      admitted.add(request.id());
      next = pool.pollNext(slots);
    }
    return admitted;
  }

  /** Removes a finished or cancelled request, whether it is running or waiting. */
  public void release(String id, Instant now) {
    Running ended = running.remove(id);
    if (ended != null) {
      pools.get(ended.request().pool()).recordEnd(ended, now);
    } else if (waiting.containsKey(id)) {
      Request request = removeWaiting(id);
      pools.get(request.pool()).queueOf(request).remove(id);
    }
  }

  /** Removes the waiting requests whose deadline has passed and returns their ids. */
  public List<String> expire(Instant now) {
    List<String> expired =
        waiting.values().stream()
            .filter(request -> !now.isBefore(request.deadline()))
            .map(Request::id)
            .toList();
    expired.forEach(id -> release(id, now));
    return expired;
  }

  /** Returns the names of the pools that have waiting requests. */
  public List<String> waitingPools() {
    return pools.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns the number of running requests. */
  public int running() {
    return running.size();
  }

  private boolean isFull(Request request) {
    if (waiting.size() >= limits.maxWaiting()) {
      return true;
    }
    int maxWaitingOrdinary = limits.maxWaiting() - urgentShareOf(limits.maxWaiting());
    return !request.isUrgent() && waitingOrdinary >= maxWaitingOrdinary;
  }

  private void start(Pool pool, Request request, Instant now) {
    running.put(request.id(), new Running(request, now));
    pool.recordStart(request);
  }

  private void enqueue(Pool pool, Request request) {
    waiting.put(request.id(), request);
    waitingOrdinary += request.isUrgent() ? 0 : 1;
    pool.queueOf(request)
        .add(
            new FairQueue.Item(
                request.id(), request.organisation(), request.share(), request.work()));
  }

  private Request removeWaiting(String id) {
    Request request = waiting.remove(id);
    waitingOrdinary -= request.isUrgent() ? 0 : 1;
    return request;
  }

  private int urgentShareOf(int total) {
    return (int) (total * limits.urgentReserve());
  }

  private static Decision refuse(RefusalReason reason, String detail, Duration wait) {
    Duration raised = wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER;
    Duration retryAfter = raised.compareTo(MAX_RETRY_AFTER) < 0 ? raised : MAX_RETRY_AFTER;
    return new Refused(Refusal.notRun(reason, detail).withRetryAfter(retryAfter));
  }

  /**
   * Limits of the admission control.
   *
   * @param maxWaiting maximum number of waiting requests, over all pools
   * @param urgentReserve share of the slots and of {@code maxWaiting} that is reserved for urgent
   *     requests, from 0 to 1
   */
  public record Limits(int maxWaiting, double urgentReserve) {}

  /**
   * A request to admit.
   *
   * @param id unique id
   * @param pool name of the pool of endpoints that can serve the request, such as a model name
   * @param organisation name of the organisation that sent the request
   * @param share fair-queueing weight of the organisation, at least 1
   * @param tokensPerMinute rate limit of the organisation
   * @param work cost of the request in tokens
   * @param isUrgent whether the request is served before ordinary ones
   * @param deadline time by which the response is due
   */
  public record Request(
      String id,
      String pool,
      String organisation,
      int share,
      long tokensPerMinute,
      long work,
      boolean isUrgent,
      Instant deadline) {}

  /** The decision on an offered request. */
  public sealed interface Decision {}

  /** The request may run now. */
  public record Admitted() implements Decision {}

  /** The request waits in the queue. */
  public record Queued() implements Decision {}

  /**
   * The request is refused.
   *
   * @param refusal the error to return to the caller
   */
  public record Refused(Refusal refusal) implements Decision {}

  /**
   * A running request.
   *
   * @param request the request
   * @param startedAt time at which it was admitted
   */
  private record Running(Request request, Instant startedAt) {}

  /** Queues and counters of one pool. */
  private final class Pool {

    /** Weight of a new sample in the moving average of the slot time. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final FairQueue urgent = new FairQueue();
    private final FairQueue ordinary = new FairQueue();
    private int running;
    private int runningOrdinary;
    private double meanSlotSeconds;

    FairQueue queueOf(Request request) {
      return request.isUrgent() ? urgent : ordinary;
    }

    int size() {
      return urgent.size() + ordinary.size();
    }

    /** Returns the number of waiting requests of the same or a higher priority. */
    int countCompeting(Request request) {
      return request.isUrgent() ? urgent.size() : size();
    }

    boolean hasFreeSlot(Request request, int slots) {
      return running < slots && (request.isUrgent() || runningOrdinary < ordinarySlots(slots));
    }

    Optional<FairQueue.Item> pollNext(int slots) {
      boolean hasNoEndpoint = slots <= 0;
      if (hasNoEndpoint || running < slots) {
        Optional<FairQueue.Item> first = urgent.poll();
        if (first.isPresent()) {
          return first;
        }
      }
      boolean hasOrdinarySlot = running < slots && runningOrdinary < ordinarySlots(slots);
      return hasNoEndpoint || hasOrdinarySlot ? ordinary.poll() : Optional.empty();
    }

    /** Estimates the wait from the number of requests ahead and the mean slot time. */
    Duration estimateWait(Request request, int slots) {
      int ahead = urgent.countAhead(request.organisation(), request.share());
      if (!request.isUrgent()) {
        ahead = urgent.size() + ordinary.countAhead(request.organisation(), request.share());
      }
      int usableSlots = request.isUrgent() ? slots : ordinarySlots(slots);
      return Duration.ofNanos(
          (long) ((ahead + 1) * meanSlotSeconds / Math.max(1, usableSlots) * 1e9));
    }

    void recordStart(Request request) {
      running++;
      runningOrdinary += request.isUrgent() ? 0 : 1;
    }

    void recordEnd(Running ended, Instant now) {
      running--;
      runningOrdinary -= ended.request().isUrgent() ? 0 : 1;
      double seconds = Duration.between(ended.startedAt(), now).toNanos() / 1e9;
      meanSlotSeconds =
          meanSlotSeconds == 0
              ? seconds
              : meanSlotSeconds + SMOOTHING_FACTOR * (seconds - meanSlotSeconds);
    }

    private int ordinarySlots(int slots) {
      return Math.max(1, slots - urgentShareOf(slots));
    }
  }
}
