package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.dragonflyhill.core.LeaseKeeper;
import org.dragonflyhill.core.LeaseTable;
import org.dragonflyhill.core.RendezvousHash;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.LogFollower;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;

/**
 * Acquires and renews one lease for this node through the log. The rank of a node, which depends on
 * the resource, determines how long it waits before it tries to acquire the lease.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class LeaseController implements AutoCloseable {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

  private final LogPort log;
  private final MembershipController membership;
  private final NodeMetrics metrics;
  private final InstantSource monotonicClock;
  private final String resource;
  private final String node;
  private final LeaseKeeper keeper;
  private final LogFollower follower;
  private Polling polling = Polling.NONE;

  /**
   * Creates a controller that is inactive until {@link #start} is called.
   *
   * @param log the log service
   * @param membership source of the live nodes
   * @param metrics counts appends
   * @param monotonicClock a clock that is never adjusted
   * @param resource name of the leased resource
   * @param node name of this node
   * @param duration duration of the lease
   */
  public LeaseController(
      LogPort log,
      MembershipController membership,
      NodeMetrics metrics,
      InstantSource monotonicClock,
      String resource,
      String node,
      Duration duration) {
    this.log = log;
    this.membership = membership;
    this.metrics = metrics;
    this.monotonicClock = monotonicClock;
    this.resource = resource;
    this.node = node;
    // The UUID keeps a restarted node from treating the lease of its previous process as its own.
    String holder = node + "/" + UUID.randomUUID();
    keeper = new LeaseKeeper(resource, holder, duration, monotonicClock.instant());
    follower = new LogFollower(log, LogPort.LEASE_STREAM, 0, this::apply);
  }

  /** Starts reading the lease stream and requesting the lease. */
  public synchronized void start() {
    follower.start();
    polling = Polling.every(POLL_INTERVAL, "the lease", this::appendIfDue);
  }

  /** Returns the lease if this node holds it now. */
  public synchronized Optional<LeaseKeeper.HeldLease> heldLease(Instant now) {
    return keeper.heldLease(now);
  }

  @Override
  public synchronized void close() {
    polling.close();
    follower.close();
  }

  private Mono<Void> appendIfDue() {
    return nextRecord().map(this::append).orElse(Mono.empty());
  }

  private synchronized Optional<LeaseTable.LeaseRecord> nextRecord() {
    if (!follower.isCaughtUp()) {
      return Optional.empty();
    }
    return keeper.nextRecord(monotonicClock.instant(), rank());
  }

  private Mono<Void> append(LeaseTable.LeaseRecord record) {
    metrics.count("lease.appends");
    return log.append(LogPort.LEASE_STREAM, List.of(Json.write(record)))
        .doOnNext(answer -> answer.peekLeft(this::onAppendFailed))
        .then();
  }

  private synchronized void onAppendFailed(PlatformError error) {
    metrics.count("lease.failed_appends");
    if (error.isWithoutEffect()) {
      keeper.discardPending();
    }
  }

  private int rank() {
    List<String> nodes =
        membership.liveHosts(HostListPort.Role.NODE).stream().map(HostListPort.Host::name).toList();
    int rank = RendezvousHash.rank(resource, nodes).indexOf(node);
    return rank < 0 ? nodes.size() : rank;
  }

  private synchronized void apply(LogPort.Page page) {
    for (LogPort.LogRecord record : page.records()) {
      Json.read(record.value(), LeaseTable.LeaseRecord.class)
          .peek(
              leaseRecord ->
                  keeper.onRecord(record.offset(), leaseRecord, monotonicClock.instant()))
          .peekLeft(fault -> metrics.count("lease.unreadable_records"));
    }
  }
}
