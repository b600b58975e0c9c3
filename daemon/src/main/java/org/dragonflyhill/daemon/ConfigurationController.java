package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ConfigurationView;
import org.dragonflyhill.core.ObjectKey;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.SnapshotPolicy;
import org.dragonflyhill.ports.ConfigurationReplay;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.LogFollower;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.SerializedState;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Follows the configuration stream of the log and appends snapshots to it, so that nodes can read
 * the configuration after older records have expired.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class ConfigurationController implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(ConfigurationController.class);
  private static final Duration SNAPSHOT_INTERVAL = Duration.ofSeconds(1);

  private final LogPort log;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final LogFollower follower;
  private final ConfigurationReplay replay;
  private volatile ConfigurationState state = ConfigurationState.empty();
  private volatile Optional<String> problem = Optional.empty();
  private volatile boolean isLogReadable;
  private volatile ConfigurationView view = ConfigurationView.of(state);
  private volatile SerializedState serializedState = SerializedState.of(state);
  private int changesSinceSnapshot;
  private long snapshotOffset;
  private Instant snapshotSeenAt;
  private Optional<Instant> expiredSince = Optional.empty();
  private Disposable snapshotTask = () -> {};

  /** Creates a controller that does not read the log until {@link #start} is called. */
  public ConfigurationController(LogPort log, NodeMetrics metrics, InstantSource clock) {
    this.log = log;
    this.metrics = metrics;
    this.clock = clock;
    snapshotSeenAt = clock.instant();
    replay = new ConfigurationReplay(state, new ReplayListener());
    follower = new LogFollower(log, LogPort.CONFIGURATION_STREAM, 0, new PageListener());
    metrics.registerGauge("configuration.version", () -> state.version());
    metrics.registerGauge("configuration.offset", () -> state.throughOffset());
    metrics.registerGauge("configuration.behind", () -> problem.isPresent() ? 1 : 0);
  }

  /** Starts reading the log. */
  public void start() {
    follower.start();
  }

  /**
   * Starts appending snapshots.
   *
   * @param policy determines when a snapshot is due
   * @param ranking rank of this node among the live nodes
   */
  public synchronized void startSnapshots(SnapshotPolicy policy, NodeRanking ranking) {
    snapshotTask =
        Flux.interval(SNAPSHOT_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> appendSnapshotIfDue(policy, ranking), 1)
            .subscribe();
  }

  /** Returns the current configuration of this node. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns a view of the current configuration for looking up what requests need. */
  public ConfigurationView view() {
    ConfigurationState current = state;
    ConfigurationView cached = view;
    if (cached.state() == current) {
      return cached;
    }
    // Created lazily, once per state, because reading the log at startup produces thousands.
    ConfigurationView created = ConfigurationView.of(current);
    view = created;
    return created;
  }

  /** Returns the current configuration as text with its digest. */
  public SerializedState serializedState() {
    ConfigurationState current = state;
    SerializedState cached = serializedState;
    if (cached.through() == current.throughOffset()) {
      return cached;
    }
    // Created lazily, once per state, because reading the log at startup produces thousands.
    SerializedState created = SerializedState.of(current);
    serializedState = created;
    return created;
  }

  /** Returns why this node cannot follow the log, or empty if it can. */
  public Optional<String> problem() {
    return problem;
  }

  /** Returns whether the current configuration is sufficient for a starting node to serve. */
  public synchronized boolean isUsable() {
    return state.version() >= 0 && !replay.hasGap();
  }

  /** Returns whether the state may be outdated and peers should be asked for a newer one. */
  public boolean shouldAskPeers() {
    return !isLogReadable || problem.isPresent();
  }

  /** Adopts the state of a peer if it is intact and newer; returns whether it was adopted. */
  public synchronized boolean adopt(SerializedState peerState) {
    boolean isAdopted = replay.adopt(peerState);
    if (isAdopted) {
      metrics.count("configuration.states_from_peers");
      LogEvent.of("configuration_from_peer").with("offset", peerState.through()).info(LOGGER);
      follower.skipTo(peerState.through() + 1);
    }
    publish();
    return isAdopted;
  }

  /** Returns an object of the current configuration, if it exists. */
  public <T extends ConfigurationObject> Optional<T> find(
      ObjectKind kind, String name, Class<T> type) {
    return state.object(new ObjectKey(kind, name)).map(type::cast);
  }

  @Override
  public synchronized void close() {
    snapshotTask.dispose();
    follower.close();
  }

  private synchronized void apply(LogPort.Page page) {
    replay.apply(page);
    publish();
    isLogReadable = true;
    boolean isExpired = page.earliest() > snapshotOffset;
    if (isExpired && expiredSince.isEmpty()) {
      expiredSince = Optional.of(clock.instant());
    }
  }

  private void publish() {
    state = replay.state();
    Optional<String> currentProblem = replay.problem().map(ConfigurationReplay.Problem::detail);
    if (currentProblem.isPresent() && problem.isEmpty()) {
      LogEvent.of("configuration_behind").with("reason", currentProblem.get()).warn(LOGGER);
    }
    problem = currentProblem;
  }

  private Mono<Boolean> appendSnapshotIfDue(SnapshotPolicy policy, NodeRanking ranking) {
    SnapshotPolicy.Progress progress;
    long lastOffset;
    synchronized (this) {
      progress = new SnapshotPolicy.Progress(changesSinceSnapshot, snapshotSeenAt, expiredSince);
      lastOffset = snapshotOffset;
    }
    boolean isCurrent = state.version() >= 0 && problem.isEmpty() && follower.isCaughtUp();
    int rank = ranking.rank("snapshot-" + lastOffset);
    if (!isCurrent || !policy.isDue(progress, rank, clock.instant())) {
      return Mono.just(false);
    }
    return log.append(
            LogPort.CONFIGURATION_STREAM, List.of(Json.write(serializedState().toSnapshotRecord())))
        .map(
            answer -> {
              metrics.count(
                  answer.isRight()
                      ? "configuration.snapshots_written"
                      : "configuration.snapshots_failed");
              return answer.isRight();
            });
  }

  /** Rank of this node among the live nodes. */
  public interface NodeRanking {

    /** Returns the rank for a key, 0 for the first node. */
    int rank(String key);
  }

  private final class PageListener implements LogFollower.PageHandler {
    @Override
    public void onPage(LogPort.Page page) {
      apply(page);
    }

    @Override
    public void onReadFailure(PlatformError error) {
      isLogReadable = false;
      metrics.count("configuration.failed_reads");
    }
  }

  private final class ReplayListener implements ConfigurationReplay.Observer {
    @Override
    public void skipped(ConfigurationReplay.Skip reason, long offset, String detail) {
      metrics.count("configuration.skipped." + reason.name().toLowerCase(Locale.ROOT));
      LogEvent.of("configuration_record_skipped")
          .with("reason", reason)
          .with("offset", offset)
          .with("detail", detail)
          .warn(LOGGER);
    }

    @Override
    public void changeApplied(long offset) {
      changesSinceSnapshot++;
    }

    @Override
    public void snapshotRead(long offset, long through) {
      changesSinceSnapshot = Math.toIntExact(offset - through - 1);
      snapshotOffset = offset;
      snapshotSeenAt = clock.instant();
      expiredSince = Optional.empty();
    }
  }
}
