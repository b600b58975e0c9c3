package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tracks the running requests of this node and the phases of a planned stop.
 *
 * <p>A planned stop has three steps. {@link #beginStop} marks the node as not ready while it still
 * serves requests. {@link #refuseRequests} refuses new requests while running ones finish. {@link
 * #abort} ends the remaining requests with an error.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class DrainController {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final int MAX_REPORTED_REQUESTS = 20;

  private final Map<String, RunningEntry> running = new ConcurrentHashMap<>();
  private final AtomicLong requestCount = new AtomicLong();
  private final Sinks.Empty<Void> aborted = Sinks.empty();
  private volatile Phase phase = Phase.STARTING;

  /** Registers a running request; the caller must close the returned tracker when it ends. */
  public RequestTracker begin(String requestId, Instant now) {
    requestCount.incrementAndGet();
    running.put(requestId, new RunningEntry(now, isRefusing(), new CopyOnWriteArrayList<>()));
    return () -> end(requestId);
  }

  /**
   * Runs a callback when a request ends, successfully or not. If the request has already ended, the
   * callback runs immediately.
   */
  public void onEnd(String requestId, Runnable callback) {
    RunningEntry entry = running.get(requestId);
    if (entry == null) {
      callback.run();
      return;
    }
    entry.callbacks().add(callback);
    if (!running.containsKey(requestId) && entry.callbacks().remove(callback)) {
      callback.run();
    }
  }

  /** Marks the node as ready to serve, unless it is being stopped. */
  public synchronized void markStarted() {
    if (phase == Phase.STARTING) {
      phase = Phase.READY;
    }
  }

  /** Marks the node as not ready, so that the load balancer stops sending requests to it. */
  public synchronized void beginStop() {
    phase = Phase.STOPPING;
  }

  /** Starts refusing new requests. */
  public synchronized void refuseRequests() {
    phase = Phase.REFUSING;
  }

  /** Ends all running requests with an error. */
  public void abort() {
    aborted.tryEmitEmpty();
  }

  /** Completes when {@link #abort} is called. */
  public Mono<Void> aborted() {
    return aborted.asMono();
  }

  /** Returns whether the node is being stopped. */
  public boolean isStopping() {
    return phase == Phase.STOPPING || phase == Phase.REFUSING;
  }

  /** Returns whether new requests are refused. */
  public boolean isRefusing() {
    return phase == Phase.REFUSING;
  }

  /** Returns the number of running requests. */
  public int runningRequests() {
    return running.size();
  }

  /** Returns the number of requests since the process started, including refused ones. */
  public long requestCount() {
    return requestCount.get();
  }

  /** Returns the longest-running requests, oldest first. */
  public List<RunningRequest> oldestRequests(Instant now) {
    return running.entrySet().stream()
        .map(
            entry ->
                new RunningRequest(
                    entry.getKey(), Duration.between(entry.getValue().startedAt(), now).toMillis()))
        .sorted(Comparator.comparingLong(RunningRequest::ageMillis).reversed())
        .limit(MAX_REPORTED_REQUESTS)
        .toList();
  }

  /** Returns why the node is not ready, or empty if it is. */
  public Optional<String> notReadyReason() {
    return switch (phase) {
      case STARTING -> Optional.of("no configuration yet");
      case READY -> Optional.empty();
      case STOPPING ->
          Optional.of("stopping, waits for the load balancer, " + runningRequestsText());
      case REFUSING -> Optional.of("stopping, refuses new requests, " + runningRequestsText());
    };
  }

  /**
   * Completes when all requests that started before new requests were refused have ended. Refused
   * requests are ignored, because callers that keep retrying could otherwise delay the stop
   * forever.
   */
  public Mono<Void> whenAcceptedRequestsEnd() {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL)
        .takeUntil(tick -> running.values().stream().allMatch(RunningEntry::isRefused))
        .then();
  }

  /** Completes when no request runs. */
  public Mono<Void> whenIdle() {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL).takeUntil(tick -> running.isEmpty()).then();
  }

  private String runningRequestsText() {
    return "waits for " + running.size() + " running requests";
  }

  private void end(String requestId) {
    RunningEntry entry = running.remove(requestId);
    if (entry == null) {
      return;
    }
    for (Runnable callback : entry.callbacks()) {
      // Only the thread that removes the callback runs it: onEnd may be adding it concurrently.
      if (entry.callbacks().remove(callback)) {
        callback.run();
      }
    }
  }

  /** Tracks a running request until it is closed. Closing it more than once has no effect. */
  public interface RequestTracker extends AutoCloseable {
    @Override
    void close();
  }

  /**
   * A running request in the status report for operators.
   *
   * @param requestId id of the request
   * @param ageMillis time since the start of the request, in milliseconds
   */
  public record RunningRequest(String requestId, long ageMillis) {}

  /**
   * State of a running request.
   *
   * @param startedAt start time
   * @param isRefused whether new requests were already being refused when this one started
   * @param callbacks callbacks to run when the request ends
   */
  private record RunningEntry(Instant startedAt, boolean isRefused, List<Runnable> callbacks) {}

  /** Phase in the lifecycle of a node. */
  private enum Phase {
    STARTING,
    READY,
    STOPPING,
    REFUSING
  }
}
