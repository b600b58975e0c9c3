package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.Json;
import org.dragonflyhill.platform.LogEvent;
import org.dragonflyhill.platform.LogFollower;
import org.dragonflyhill.platform.LogPort;
import org.dragonflyhill.platform.PlatformError;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Claims non-repeatable requests through the log, whose order decides who runs them.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class ClaimController implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(ClaimController.class);

  private final LogPort log;
  private final String node;
  private final NodeMetrics metrics;
  private final ClaimTable table = new ClaimTable();
  private final Map<String, Sinks.One<ClaimTable.Entry>> waiting = new ConcurrentHashMap<>();
  private final LogFollower follower;
  private boolean isWindowRead;

  /** Creates a controller that does not read yet. */
  public ClaimController(LogPort log, String node, NodeMetrics metrics) {
    this.log = log;
    this.node = node;
    this.metrics = metrics;
    follower = new LogFollower(log, LogPort.CLAIM_STREAM, 0, this::fold);
    metrics.gauge("claims.unknown", this::unknownCount);
  }

  /** Starts to follow the log. */
  public void start() {
    follower.start();
  }

  /**
   * Claims a request. The claim won if the entry carries the id that this call made.
   *
   * @param key the request
   * @param digest digest of the request
   * @param now present time
   */
  public Mono<Either<Refusal, Claim>> claim(ClaimEvent.RequestKey key, String digest, Instant now) {
    synchronized (this) {
      if (!isWindowRead) {
        return refuse(RefusalReason.CLAIMS_NOT_READ, "this node has not read all claims yet");
      }
      Optional<ClaimTable.Entry> known = table.entry(key);
      if (known.isPresent()) {
        return Mono.just(Either.right(new Claim(known.get(), false)));
      }
    }
    String claimId = node + "-" + UUID.randomUUID();
    var claimed = new ClaimEvent.Claimed(key, claimId, node, digest, now.toEpochMilli());
    Sinks.One<ClaimTable.Entry> folded = Sinks.one();
    waiting.put(claimId, folded);
    return append(claimed)
        .flatMap(
            answer ->
                answer.isLeft()
                    ? ClaimController.<Claim>refuse(
                        RefusalReason.LOG_UNAVAILABLE, "the log did not take the claim")
                    : folded
                        .asMono()
                        .map(
                            entry ->
                                Either.<Refusal, Claim>right(
                                    new Claim(entry, entry.claimId().equals(claimId)))))
        .doFinally(signal -> waiting.remove(claimId));
  }

  /** Appends what became of a claim. */
  public Mono<Either<PlatformError, Long>> append(ClaimEvent event) {
    return log.append(LogPort.CLAIM_STREAM, List.of(Json.write(event)));
  }

  /** Finds the entry of a request. */
  public synchronized Optional<ClaimTable.Entry> entry(ClaimEvent.RequestKey key) {
    return table.entry(key);
  }

  /** Returns all entries, oldest first. */
  public synchronized List<ClaimTable.Entry> entries() {
    return List.copyOf(table.entries());
  }

  @Override
  public void close() {
    follower.close();
  }

  private synchronized int unknownCount() {
    return (int) table.entries().stream().filter(entry -> entry.outcome().isEmpty()).count();
  }

  private synchronized void fold(LogPort.Page page) {
    for (LogPort.LogRecord record : page.records()) {
      Json.read(record.value(), ClaimEvent.class)
          .peek(event -> apply(record.offset(), event))
          .peekLeft(fault -> unreadable(record.offset(), fault));
    }
    long end = page.records().isEmpty() ? page.next() : page.records().getLast().offset() + 1;
    isWindowRead |= end >= page.next();
  }

  private void apply(long offset, ClaimEvent event) {
    table.apply(offset, event);
    Sinks.One<ClaimTable.Entry> waiter = waiting.get(event.claimId());
    if (waiter != null && event instanceof ClaimEvent.Claimed) {
      table.entry(event.key()).ifPresent(waiter::tryEmitValue);
    }
  }

  private void unreadable(long offset, String fault) {
    metrics.count("claims.unreadable_records");
    LogEvent.of("claim_record_unreadable").with("offset", offset).with("fault", fault).warn(LOGGER);
  }

  private static <T> Mono<Either<Refusal, T>> refuse(RefusalReason reason, String detail) {
    return Mono.just(Either.left(Refusal.notRun(reason, detail)));
  }

  /**
   * Result of a claim.
   *
   * @param entry the live claim on the request
   * @param isWon whether it was made by this call
   */
  public record Claim(ClaimTable.Entry entry, boolean isWon) {}
}
