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
 * Decides which requests run, which wait and which are refused at once.
 *
 * <p>Each pool of endpoints has its own queues, urgent ahead of ordinary; a share of the slots and
 * of the waiting room is kept for urgent requests. A request that cannot be served before its
 * deadline is refused when that is known.
 *
 * <pre>{@code
 * switch (admission.offer(request, slots, now)) {
 *   case Admission.Admitted admitted -> dispatch();
 *   case Admission.Queued queued -> waitForAdmit();
 *   case Admission.Refused refused -> answer(refused.refusal());
 * }
 * admission.release(request.id(), now);
 * List<String> next = admission.admit(request.pool(), slots, now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
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

  /** Creates an admission with nothing running. */
  public Admission(Limits limits) {
    this.limits = limits;
  }

  /**
   * Takes a request in.
   *
   * @param request the request
   * @param slots requests that its pool may run at once; 0 where no endpoint is usable, in which
   *     case it is let through to be told so
   * @param now present time
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
      String detail = "about " + wait.toMillis() + " ms of waiting are longer than the time left";
      return refuse(RefusalReason.DEADLINE_UNREACHABLE, detail, wait);
    }
    Optional<Duration> rateLimitWait =
        rateLimiter.tryTake(request.organisation(), request.tokensPerMinute(), request.work(), now);
    if (rateLimitWait.isPresent()) {
      String detail = "the organisation has used its tokens of this minute";
      return refuse(RefusalReason.ORGANISATION_LIMIT, detail, rateLimitWait.get());
    }
    if (canRun) {
      start(pool, request, now);
      return new Admitted();
    }
    enqueue(pool, request);
    return new Queued();
  }

  /** Returns the waiting requests of a pool that may run now, and counts them as running. */
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

  /** Notes the end of a request, however it ended, and wherever it was. */
  public void release(String id, Instant now) {
    Running ended = running.remove(id);
    if (ended != null) {
      pools.get(ended.request().pool()).recordEnd(ended, now);
    } else if (waiting.containsKey(id)) {
      Request request = removeWaiting(id);
      pools.get(request.pool()).queueOf(request).remove(id);
    }
  }

  /** Removes the waiting requests whose deadline has passed, and returns their ids. */
  public List<String> expire(Instant now) {
    List<String> expired =
        waiting.values().stream()
            .filter(request -> !now.isBefore(request.deadline()))
            .map(Request::id)
            .toList();
    expired.forEach(id -> release(id, now));
    return expired;
  }

  /** Returns the names of the pools in which requests wait. */
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
   * Sizes.
   *
   * @param maxWaiting most requests that wait
   * @param urgentReserve share of slots and waiting room kept for urgent requests, from 0 to 1
   */
  public record Limits(int maxWaiting, double urgentReserve) {}

  /**
   * A request.
   *
   * @param id unique id
   * @param pool name of the endpoints that can serve it, such as a model
   * @param organisation who asks
   * @param share share of the organisation, at least 1
   * @param tokensPerMinute limit of the organisation
   * @param work tokens of work
   * @param isUrgent whether it goes ahead
   * @param deadline when the answer is due
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

  /** What becomes of an offered request. */
  public sealed interface Decision {}

  /** It runs now. */
  public record Admitted() implements Decision {}

  /** It waits. */
  public record Queued() implements Decision {}

  /**
   * It is refused.
   *
   * @param refusal why
   */
  public record Refused(Refusal refusal) implements Decision {}

  /**
   * A request that runs.
   *
   * @param request the request
   * @param since when it began
   */
  private record Running(Request request, Instant since) {}

  /** Requests of one pool. */
  private final class Pool {

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

    /** Returns how many wait that would go before or with this request. */
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

    /** Estimates the wait from the requests ahead and the mean time that one holds a slot. */
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
      double seconds = Duration.between(ended.since(), now).toNanos() / 1e9;
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
