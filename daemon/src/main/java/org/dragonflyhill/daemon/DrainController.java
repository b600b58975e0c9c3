package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Knows which requests run on this node and takes the node through a planned stop.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class DrainController {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final Set<String> running = ConcurrentHashMap.newKeySet();
  private volatile boolean isStopping;
  private volatile boolean isStarted;

  /** Notes the start of a request. */
  public Running begin(String requestId) {
    running.add(requestId);
    return () -> running.remove(requestId);
  }

  /** Notes that the node has what it needs to serve. */
  public void started() {
    isStarted = true;
  }

  /** Makes the node not ready, so that the balancer moves on. */
  public void stop() {
    isStopping = true;
  }

  /** Returns whether the node is being stopped. */
  public boolean isStopping() {
    return isStopping;
  }

  /** Returns the number of running requests. */
  public int runningRequests() {
    return running.size();
  }

  /** Returns why the node is not ready, or empty if it is. */
  public Optional<String> notReadyReason() {
    if (isStopping) {
      return Optional.of("stopping, " + running.size() + " requests run");
    }
    return isStarted ? Optional.empty() : Optional.of("no configuration yet");
  }

  /** Completes when no request runs. */
  public Mono<Void> whenIdle() {
    return Flux.interval(Duration.ZERO, POLL_INTERVAL).takeUntil(tick -> running.isEmpty()).then();
  }

  /** A running request. */
  public interface Running extends AutoCloseable {
    @Override
    void close();
  }
}
