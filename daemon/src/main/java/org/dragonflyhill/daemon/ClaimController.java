package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimEvent.RequestKey;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.LogFollower;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Claims non-repeatable requests through the log. The order of claims in the log decides which node
 * runs a request.
 *
 * <p>A claim is either won, lost or given up. The request of a claim that was given up is never
 * dispatched. If the claim appears in the log later and wins there, this node releases it.
 * Thread-safe; no argument may be null.
 */
public final class ClaimController implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(ClaimController.class);
  private static final int PAGE_RECORDS = 1_000;
  private static final int MAX_ENTRIES = 32_000;
  private static final int MAX_GIVEN_UP = 100_000;
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

  private final LogPort log;
  private final String node;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final ClaimLimits limits;
  private final ClaimStepFault stepFault;
  private final ClaimTable table;
  private final ClaimReader reader;
  private final ClaimAppender appender;
  private final LogFollower follower;
  private final Map<String, PendingClaim> pendingClaims = new HashMap<>();

  // Keys of claims that were given up but may be in the log, by claim id.
  private final Map<String, RequestKey> givenUpClaims = new LinkedHashMap<>();

  // Won claims of this node whose outcome the log has not accepted yet, by claim id. The outcome is
  // empty while the request runs.
  private final Map<String, Optional<ClaimTable.Outcome>> localClaims = new HashMap<>();

  // Claims whose append failed, although the log may have accepted them.
  private List<PendingClaim> inDoubtClaims = new ArrayList<>();
  private Optional<Instant> logFailingSince = Optional.empty();
  private boolean isResolvingInDoubt;

  /**
   * Creates a controller that does not read the log until {@link #start} is called.
   *
   * @param log the log service
   * @param node name of this node
   * @param window how long keys are retained; must be the same on all nodes
   * @param limits time limits
   * @param stepFault fault injection for tests
   * @param metrics counts claims by result
   * @param clock clock for pages of the log and for timers
   */
  ClaimController(
      LogPort log,
      String node,
      ClaimWindow window,
      ClaimLimits limits,
      ClaimStepFault stepFault,
      NodeMetrics metrics,
      InstantSource clock) {
    this.log = log;
    this.node = node;
    this.limits = limits;
    this.stepFault = stepFault;
    this.metrics = metrics;
    this.clock = clock;
    table = new ClaimTable(window);
    reader = new ClaimReader(window, table, metrics, this::onEventApplied);
    appender = new ClaimAppender(log, metrics);
    follower = new LogFollower(log, LogPort.CLAIM_STREAM, 0, this::onPage);
    metrics.registerGauge("claims.entries", this::entryCount);
    metrics.registerGauge("claims.unknown", this::unknownCount);
    metrics.registerGauge("claims.forgotten_unknown", this::expiredUnknownCount);
  }

  /** Starts reading the log. */
  public void start() {
    follower.start();
  }

  /**
   * Claims a request. The result arrives within the time limits. After a refusal this node has not
   * dispatched the request and never will.
   *
   * @param key key of the request
   * @param digest digest of the request
   * @param deadline deadline of the caller
   * @param now current time
   */
  public Mono<Either<Refusal, Claim>> claim(
      RequestKey key, String digest, Instant deadline, Instant now) {
    String claimId = node + "-" + UUID.randomUUID();
    PendingClaim pendingClaim = new PendingClaim(key, claimId, System.nanoTime(), Sinks.one());
    synchronized (this) {
      Optional<Either<Refusal, Claim>> known = decideFromTable(key, now);
      if (known.isPresent()) {
        return Mono.just(known.get());
      }
      pendingClaims.put(claimId, pendingClaim);
    }
    var claimed = new ClaimEvent.Claimed(key, claimId, node, digest, now.toEpochMilli());
    appender.appendOnce(claimed).subscribe(answer -> onAppendResult(pendingClaim, answer));
    Duration timeLeft = Duration.between(now, deadline);
    Duration timeout = min(limits.claimTimeout(), timeLeft.dividedBy(2));
    Duration finalReadTimeout = min(limits.finalReadTimeout(), timeLeft.dividedBy(4));
    return pendingClaim
        .result()
        .asMono()
        .timeout(timeout, Mono.defer(() -> onTimeout(pendingClaim, finalReadTimeout)));
  }

  /**
   * Returns whether the request of a won claim may still be dispatched. Must be called immediately
   * before the first byte is sent, so that a node that was paused does not act on outdated state.
   *
   * @param claim the claim
   * @param now current time
   * @param nowNanos current value of {@link System#nanoTime}, which bounds the age of the claim
   *     even if the system clock is set back
   */
  public synchronized boolean mayDispatch(Claim claim, Instant now, long nowNanos) {
    ClaimTable.Entry entry = claim.entry();
    Duration age = Duration.between(Instant.ofEpochMilli(entry.atMillis()), now);
    boolean isInTime =
        age.compareTo(limits.maxDispatchAge()) <= 0
            && nowNanos - claim.startNanos() <= limits.maxDispatchAge().toNanos();
    boolean isLive =
        table
            .entry(entry.key())
            .filter(current -> current.claimId().equals(entry.claimId()))
            .filter(current -> current.outcome().isEmpty())
            .isPresent();
    return isInTime && isLive && localClaims.containsKey(entry.claimId());
  }

  /**
   * Records that a request of this node ran, and appends its outcome with retries until the log
   * accepts it.
   */
  public Mono<Void> settle(ClaimEvent.Settled settled) {
    synchronized (this) {
      localClaims.put(settled.claimId(), Optional.of(ClaimTable.Outcome.Ran.of(settled)));
    }
    return appender
        .appendOutcome(settled)
        .doOnNext(offset -> removeLocalClaim(settled.claimId()))
        .then();
  }

  /** Releases a claim of this node whose request was not dispatched and never will be. */
  public Mono<Void> release(RequestKey key, String claimId) {
    synchronized (this) {
      localClaims.remove(claimId);
    }
    metrics.count("claims.released");
    return appender.appendOutcome(new ClaimEvent.Released(key, claimId)).then();
  }

  /** Records that it is unknown whether a dispatched request ran. */
  public void markOutcomeUnknown(String claimId) {
    removeLocalClaim(claimId);
    metrics.count("claims.left_unknown");
    LogEvent.of("claim_outcome_unknown").with("claim", claimId).warn(LOGGER);
  }

  /**
   * Returns the entry of a request, including an outcome of this node that is not yet in the log.
   */
  public synchronized Optional<ClaimTable.Entry> entry(RequestKey key) {
    return table.entry(key).map(this::withLocalOutcome);
  }

  /** Returns why this node cannot decide claims, or empty if it can. */
  public synchronized Optional<Refusal> notReadyRefusal(Instant now) {
    return reader
        .notReadyReason(now)
        .map(
            cause ->
                Refusal.notRun(RefusalReason.CLAIMS_NOT_READ, cause.detail())
                    .withRetryAfter(min(cause.retryAfter(), MAX_RETRY_AFTER)));
  }

  /** Returns where a request without a recorded outcome may be running. */
  public synchronized Progress progress(ClaimTable.Entry entry, Instant now) {
    if (localClaims.containsKey(entry.claimId())) {
      return Progress.RUNS_HERE;
    }
    Duration age = Duration.between(Instant.ofEpochMilli(entry.atMillis()), now);
    boolean mayRun = !entry.node().equals(node) && age.compareTo(limits.maxRunningAge()) < 0;
    return mayRun ? Progress.MAY_RUN_ELSEWHERE : Progress.UNKNOWN;
  }

  /** Returns all entries without an outcome, oldest first. */
  public synchronized List<ClaimTable.Entry> entriesWithoutOutcome() {
    return table.entries().stream()
        .map(this::withLocalOutcome)
        .filter(entry -> entry.outcome().isEmpty())
        .toList();
  }

  /** Returns all entries, oldest first. */
  public synchronized List<ClaimTable.Entry> entries() {
    return table.entries().stream().map(this::withLocalOutcome).toList();
  }

  ClaimLimits limits() {
    return limits;
  }

  /**
   * Appends an event without retries and then reads the log to its end. After an error the event
   * may or may not be in the log.
   */
  Mono<Either<PlatformError, Long>> appendAndReadToEnd(ClaimEvent event) {
    return appender
        .appendOnce(event)
        .flatMap(
            answer ->
                readToEnd().map(read -> read.isLeft() ? Either.left(read.getLeft()) : answer));
  }

  @Override
  public void close() {
    follower.close();
    appender.close();
  }

  private Optional<Either<Refusal, Claim>> decideFromTable(RequestKey key, Instant now) {
    Optional<Refusal> refusal = notReadyRefusal(now);
    if (refusal.isPresent()) {
      return refusal.map(Either::left);
    }
    Optional<ClaimTable.Entry> known = entry(key);
    if (known.isPresent()) {
      return Optional.of(
          table.isWithinReplayPeriod(known.get())
              ? Either.right(new Claim(known.get(), false, 0))
              : Either.left(
                  Refusal.unknown(
                      RefusalReason.KEY_OUTSIDE_WINDOW,
                      "the key was used too long ago to know its outcome")));
    }
    if (!appender.hasCapacity() || table.entries().size() >= MAX_ENTRIES) {
      return Optional.of(
          Either.left(
              Refusal.notRun(RefusalReason.QUEUE_FULL, "too many claims are queued or retained")
                  .withRetryAfter(MIN_RETRY_AFTER)));
    }
    return Optional.empty();
  }

  private ClaimTable.Entry withLocalOutcome(ClaimTable.Entry entry) {
    Optional<ClaimTable.Outcome> local =
        localClaims.getOrDefault(entry.claimId(), Optional.empty());
    return entry.outcome().isPresent() ? entry : local.map(entry::withOutcome).orElse(entry);
  }

  private void onAppendResult(PendingClaim claim, Either<PlatformError, Long> answer) {
    recordLogAvailability(answer.isRight(), clock.instant());
    if (answer.isRight()) {
      stepFault.onStep(ClaimStep.AFTER_CLAIM_APPEND);
      return;
    }
    if (answer.getLeft() instanceof PlatformError.NotSent) {
      giveUp(claim, false);
      return;
    }
    metrics.count("claims.append_in_doubt");
    synchronized (this) {
      inDoubtClaims.add(claim);
    }
    resolveInDoubtClaims();
  }

  private void resolveInDoubtClaims() {
    List<PendingClaim> batch;
    synchronized (this) {
      if (isResolvingInDoubt || inDoubtClaims.isEmpty()) {
        return;
      }
      isResolvingInDoubt = true;
      batch = inDoubtClaims;
      inDoubtClaims = new ArrayList<>();
    }
    readToEnd()
        .subscribe(
            readResult -> {
              batch.forEach(claim -> giveUp(claim, true));
              synchronized (this) {
                isResolvingInDoubt = false;
              }
              resolveInDoubtClaims();
            });
  }

  private Mono<Either<PlatformError, Boolean>> readToEnd() {
    return Mono.defer(
            () -> log.read(LogPort.CLAIM_STREAM, nextOffset(), PAGE_RECORDS, Duration.ZERO))
        .onErrorResume(error -> Mono.just(Either.left(new PlatformError.Lost(error.toString()))))
        .flatMap(
            answer -> {
              if (answer.isLeft()) {
                return Mono.just(Either.left(answer.getLeft()));
              }
              return applyPage(answer.get()) ? Mono.just(Either.right(true)) : readToEnd();
            });
  }

  private synchronized long nextOffset() {
    return table.throughOffset() + 1;
  }

  private synchronized boolean applyPage(LogPort.Page page) {
    reader.apply(page, clock.instant());
    return reader.isAtEnd(page);
  }

  private void onPage(LogPort.Page page) {
    recordLogAvailability(true, clock.instant());
    applyPage(page);
  }

  private synchronized void recordLogAvailability(boolean isAvailable, Instant now) {
    logFailingSince = isAvailable ? Optional.empty() : logFailingSince.or(() -> Optional.of(now));
  }

  /** Gives up a claim unless it was won, lost or given up before. */
  private void giveUp(PendingClaim claim, boolean mayBeInLog) {
    Either<Refusal, Claim> result;
    synchronized (this) {
      if (pendingClaims.remove(claim.claimId()) == null) {
        return;
      }
      if (mayBeInLog) {
        rememberGivenUp(claim);
      }
      Optional<ClaimTable.Entry> winner = entry(claim.key());
      result =
          winner.map(this::lostTo).orElseGet(() -> Either.left(logUnavailable(clock.instant())));
    }
    metrics.count("claims.given_up");
    claim.result().tryEmitValue(result);
  }

  private Either<Refusal, Claim> lostTo(ClaimTable.Entry entry) {
    return Either.right(new Claim(entry, false, 0));
  }

  private Refusal logUnavailable(Instant now) {
    return Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, "the log did not accept the claim")
        .withRetryAfter(retryAfter(now));
  }

  // Reads the log once more before giving up: if this node was paused, another node may have run a
  // duplicate of the request in the meantime.
  private Mono<Either<Refusal, Claim>> onTimeout(PendingClaim claim, Duration finalReadTimeout) {
    boolean wasSent = !appender.withdraw(claim.claimId());
    readToEnd()
        .map(Either::isRight)
        .timeout(finalReadTimeout, Mono.just(false))
        .subscribe(isRead -> giveUp(claim, wasSent));
    return claim.result().asMono();
  }

  private void rememberGivenUp(PendingClaim claim) {
    if (givenUpClaims.size() >= MAX_GIVEN_UP) {
      givenUpClaims.remove(givenUpClaims.keySet().iterator().next());
      metrics.count("claims.given_up_forgotten");
    }
    givenUpClaims.put(claim.claimId(), claim.key());
  }

  private Duration retryAfter(Instant now) {
    Duration failing =
        logFailingSince.map(since -> Duration.between(since, now)).orElse(Duration.ZERO);
    return min(MAX_RETRY_AFTER, MIN_RETRY_AFTER.plus(failing));
  }

  /** Handles an event that the reader has applied to the table. The caller holds this lock. */
  private void onEventApplied(ClaimEvent event) {
    if (!(event instanceof ClaimEvent.Claimed claimed)) {
      return;
    }
    ClaimTable.Entry entry = table.entry(claimed.key()).orElseThrow();
    boolean isWon = entry.claimId().equals(claimed.claimId());
    if (givenUpClaims.remove(claimed.claimId()) != null && isWon) {
      release(claimed.key(), claimed.claimId()).subscribe();
    }
    Optional.ofNullable(pendingClaims.remove(claimed.claimId()))
        .ifPresent(pendingClaim -> complete(pendingClaim, entry, isWon));
  }

  private void complete(PendingClaim pendingClaim, ClaimTable.Entry entry, boolean isWon) {
    if (isWon) {
      localClaims.put(pendingClaim.claimId(), Optional.empty());
    }
    metrics.count(isWon ? "claims.won" : "claims.lost");
    Claim claim = new Claim(entry, isWon, pendingClaim.startNanos());
    // Subscribers process the rest of the request, which must not run while the lock is held.
    reactor.core.scheduler.Schedulers.parallel()
        .schedule(() -> pendingClaim.result().tryEmitValue(Either.right(claim)));
  }

  private synchronized void removeLocalClaim(String claimId) {
    localClaims.remove(claimId);
  }

  private synchronized int entryCount() {
    return table.entries().size();
  }

  private synchronized long expiredUnknownCount() {
    return table.expiredUnknownCount();
  }

  private synchronized int unknownCount() {
    Instant now = clock.instant();
    return (int)
        entriesWithoutOutcome().stream()
            .filter(entry -> progress(entry, now) == Progress.UNKNOWN)
            .count();
  }

  private static Duration min(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }

  /** Where a request without a recorded outcome may be running. */
  public enum Progress {
    /** It runs on this node. */
    RUNS_HERE,
    /** Another node claimed it recently enough that it may still be running. */
    MAY_RUN_ELSEWHERE,
    /** It no longer runs on any node, and its outcome is unknown. */
    UNKNOWN
  }

  /**
   * Result of a claim.
   *
   * @param entry the winning claim on the request
   * @param isWon whether this call made the winning claim
   * @param startNanos value of {@link System#nanoTime} at the start of this call if it won
   */
  public record Claim(ClaimTable.Entry entry, boolean isWon, long startNanos) {}

  private record PendingClaim(
      RequestKey key, String claimId, long startNanos, Sinks.One<Either<Refusal, Claim>> result) {}
}
