package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;

/**
 * Polls the list of live and leaving hosts. If a poll fails, the last list stays in use.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class MembershipController implements AutoCloseable {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  private final HostListPort hostList;
  private final NodeMetrics metrics;
  private volatile List<HostListPort.Host> hosts = List.of();
  private Polling polling = Polling.NONE;

  /** Creates a controller that does not poll until {@link #start} is called. */
  public MembershipController(HostListPort hostList, NodeMetrics metrics) {
    this.hostList = hostList;
    this.metrics = metrics;
    metrics.registerGauge("membership.hosts", () -> hosts.size());
  }

  /** Starts polling the host list. */
  public synchronized void start() {
    polling = Polling.every(POLL_INTERVAL, "the host list", this::poll);
  }

  /** Returns all hosts of the last list. */
  public List<HostListPort.Host> hosts() {
    return hosts;
  }

  /** Returns the hosts of a role that are listed as live. */
  public List<HostListPort.Host> liveHosts(HostListPort.Role role) {
    return hosts.stream()
        .filter(host -> host.role() == role)
        .filter(host -> host.state() == HostListPort.State.LIVE)
        .toList();
  }

  @Override
  public synchronized void close() {
    polling.close();
  }

  private Mono<Void> poll() {
    return hostList.hosts().doOnNext(this::update).then();
  }

  private void update(Either<PlatformError, List<HostListPort.Host>> answer) {
    answer
        .peek(listed -> hosts = List.copyOf(listed))
        .peekLeft(error -> metrics.count("membership.failed_polls"));
  }
}
