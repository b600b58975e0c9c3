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
 * Knows which requests run on this node and takes the node through a planned stop.
 *
 * <p>The steps: {@link #beginStop} makes the node not ready while it still serves, {@link
 * #refuseRequests} lets running requests finish and refuses new ones, {@link #abort} ends what is
 * left with an error.
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

  /** Notes the start of a request. */
  public RequestTracker begin(String requestId, Instant now) {
    requestCount.incrementAndGet();
    running.put(requestId, new RunningEntry(now, isRefusing(), new CopyOnWriteArrayList<>()));
    return () -> end(requestId);
  }

  /** Calls back when a request ends, in whichever way; at once where it has ended. */
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

  /** Notes that the node has what it needs to serve. */
  public synchronized void markStarted() {
    if (phase == Phase.STARTING) {
      phase = Phase.READY;
    }
  }

  /** Makes the node not ready, so that the balancer moves on. */
  public synchronized void beginStop() {
    phase = Phase.STOPPING;
  }

  /** Makes the node refuse new requests. */
  public synchronized void refuseRequests() {
    phase = Phase.REFUSING;
  }

  /** Ends all running requests with an error. */
  public void abort() {
    aborted.tryEmitEmpty();
  }

  /** Completes when running requests must end now. */
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

  /** Returns the number of requests since the start, refused ones too. */
  public long requestCount() {
    return requestCount.get();
  }

  /** Returns the requests that have run longest, oldest first. */
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
      case STOPPING -> Optional.of("stopping, waits for the balancer, " + runningRequestsText());
      case REFUSING -> Optional.of("stopping, takes no requests, " + runningRequestsText());
    };
  }

  /**
   * Completes when no request runs that came before new ones were refused. Those that are refused
   * do not count: callers that ask again and again would hold up a stop forever.
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
      // Removing decides between this thread and one that is just adding the callback.
      if (entry.callbacks().remove(callback)) {
        callback.run();
      }
    }
  }

  /** A running request. */
  public interface RequestTracker extends AutoCloseable {
    @Override
    void close();
  }

  /**
   * A running request as operators see it.
   *
   * @param requestId its id
   * @param ageMillis time since its start, in milliseconds
   */
  public record RunningRequest(String requestId, long ageMillis) {}

  /**
   * What is kept of a running request.
   *
   * @param startedAt when it began
   * @param isRefused whether it came when new requests were refused
   * @param callbacks what to call at its end
   */
  private record RunningEntry(Instant startedAt, boolean isRefused, List<Runnable> callbacks) {}

  /** Step in the life of a node. */
  private enum Phase {
    STARTING,
    READY,
    STOPPING,
    REFUSING
  }
}
