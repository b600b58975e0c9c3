package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Generates a trace: a warm-up of two days with the first requests of new histories, then peaks at
 * a given load, a day apart, with few requests in between. A history is a prompt prefix that grows
 * by the tokens of its earlier requests. Its requests are minutes to days apart.
 *
 * <pre>{@code
 * Trace trace = new TraceGenerator(Deployment.STRUNOVA, shape, new Random(1)).generate(0.8);
 * }</pre>
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class TraceGenerator {

  private static final double[] ORGANISATION_SHARES = {
    0.26, 0.20, 0.14, 0.08, 0.08, 0.06, 0.06, 0.04, 0.04, 0.04
  };
  private static final long WARM_UP_MILLIS = Duration.ofDays(2).toMillis();
  private static final long DAY_MILLIS = Duration.ofDays(1).toMillis();
  private static final long QUIET_INTERVAL_MILLIS = Duration.ofMinutes(5).toMillis();
  private static final long MIN_RETURN_MILLIS = Duration.ofMinutes(1).toMillis();
  private static final double NEW_HISTORY_SHARE = 0.06;

  /** The warm-up creates as many histories as a peak has requests in this many seconds. */
  private static final int INITIAL_HISTORY_SECONDS = 150;

  /** Requests per second in the peaks of the trace from which the capacity is estimated. */
  private static final int CAPACITY_TRACE_RATE = 20;

  private static final int RETURN_ATTEMPTS = 20;

  private final Deployment deployment;
  private final Shape shape;
  private final RandomGenerator random;
  private final List<History> histories = new ArrayList<>();
  private final List<TraceRequest> requests = new ArrayList<>();

  /** Creates a generator, which can generate a single trace. */
  public TraceGenerator(Deployment deployment, Shape shape, RandomGenerator random) {
    this.deployment = deployment;
    this.shape = shape;
    this.random = random;
  }

  /** Returns a trace whose peaks have a load given as a fraction of the capacity, such as 0.8. */
  public Trace generate(double load) {
    return generateAtRate(load * capacity(deployment, shape));
  }

  /**
   * Returns the capacity in requests per second: the rate in the peaks at which either the slots of
   * all runners are saturated, or their prefill, if each piece is computed only once.
   */
  public static double capacity(Deployment deployment, Shape shape) {
    var probe = new TraceGenerator(deployment, shape, new java.util.Random(0));
    return probe.capacityFor(probe.generateAtRate(CAPACITY_TRACE_RATE));
  }

  private Trace generateAtRate(double rate) {
    int initialHistories = (int) (rate * INITIAL_HISTORY_SECONDS);
    for (int index = 0; index < initialHistories; index++) {
      addHistory(WARM_UP_MILLIS * index / initialHistories);
    }
    for (int peak = 0; peak < shape.peaks(); peak++) {
      long start = WARM_UP_MILLIS + peak * DAY_MILLIS;
      addPeak(start, rate);
      addQuietPeriod(start + shape.peak().toMillis(), peak + 1 < shape.peaks());
    }
    requests.sort(Comparator.comparingLong(TraceRequest::arrivalMillis));
    return new Trace(requests, WARM_UP_MILLIS);
  }

  private double capacityFor(Trace trace) {
    Set<String> seen = new HashSet<>();
    int measured = 0;
    long unseenTokens = 0;
    long slotMicros = 0;
    Deployment.Engine engine = deployment.engine();
    for (TraceRequest request : trace.requests()) {
      long pieces = request.pieces().stream().filter(seen::add).count();
      if (request.arrivalMillis() < trace.measureFromMillis()) {
        continue;
      }
      measured++;
      long unseen = pieces * TraceRequest.PIECE_TOKENS + request.tailTokens();
      unseenTokens += unseen;
      slotMicros +=
          engine.prefillMicros(unseen)
              + request.outputTokens() * engine.tokenMicros(engine.slots());
    }
    double prefill =
        (double) deployment.runners() * engine.prefillTokensPerSecond() * measured / unseenTokens;
    double slots = 1e6 * deployment.runners() * engine.slots() * measured / (double) slotMicros;
    return Math.min(prefill, slots);
  }

  private void addPeak(long startMillis, double rate) {
    double millis = startMillis;
    double end = startMillis + shape.peak().toMillis();
    while (millis < end) {
      addRequest((long) millis);
      millis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
    }
  }

  private void addQuietPeriod(long startMillis, boolean isBeforePeak) {
    if (isBeforePeak) {
      long end = startMillis + DAY_MILLIS - shape.peak().toMillis();
      for (long millis = startMillis; millis < end; millis += QUIET_INTERVAL_MILLIS) {
        addRequest(millis);
      }
    }
  }

  private void addRequest(long nowMillis) {
    if (random.nextDouble() < NEW_HISTORY_SHARE) {
      addHistory(nowMillis);
      return;
    }
    pickReturningHistory(nowMillis)
        .ifPresentOrElse(history -> addRequestFor(history, nowMillis), () -> addHistory(nowMillis));
  }

  private Optional<History> pickReturningHistory(long nowMillis) {
    for (int attempt = 0; attempt < RETURN_ATTEMPTS && !histories.isEmpty(); attempt++) {
      History history = histories.get(random.nextInt(histories.size()));
      if (history.lastRequestMillis + MIN_RETURN_MILLIS <= nowMillis) {
        return Optional.of(history);
      }
    }
    return Optional.empty();
  }

  private void addHistory(long nowMillis) {
    String organisation = "org-" + pickIndex(ORGANISATION_SHARES);
    double[] shares = deployment.tasks().stream().mapToDouble(Task::share).toArray();
    Task task = deployment.tasks().get(pickIndex(shares));
    History history = new History(histories.size(), organisation, task);
    history.pieces.add(organisation + "/" + task.name());
    int pieces = randomIn(task.historyPieces());
    while (history.pieces.size() < pieces) {
      history.addPiece();
    }
    histories.add(history);
    addRequestFor(history, nowMillis);
  }

  private void addRequestFor(History history, long nowMillis) {
    Task task = history.task;
    while (history.pendingTokens >= TraceRequest.PIECE_TOKENS) {
      history.pendingTokens -= TraceRequest.PIECE_TOKENS;
      history.addPiece();
    }
    int tail = randomIn(task.tailTokens());
    requests.add(
        new TraceRequest(
            nowMillis,
            history.organisation,
            task.name(),
            task.urgent(),
            task.repeatable(),
            task.deadline().toMillis(),
            history.pieces,
            tail,
            task.outputTokens()));
    history.pendingTokens += tail + task.outputTokens();
    history.lastRequestMillis = nowMillis;
  }

  private int randomIn(Task.Range range) {
    return random.nextInt(range.min(), range.max() + 1);
  }

  private int pickIndex(double[] shares) {
    double remaining = random.nextDouble();
    for (int index = 0; index < shares.length; index++) {
      remaining -= shares[index];
      if (remaining < 0) {
        return index;
      }
    }
    return shares.length - 1;
  }

  /**
   * Number and duration of the peaks of a trace.
   *
   * @param peak duration of a peak
   * @param peaks number of peaks, a day apart
   */
  public record Shape(Duration peak, int peaks) {}

  private static final class History {
    private final int number;
    private final String organisation;
    private final Task task;
    private final List<String> pieces = new ArrayList<>();

    /** Tokens of earlier requests that do not fill a piece yet. */
    private int pendingTokens;

    private long lastRequestMillis;

    private History(int number, String organisation, Task task) {
      this.number = number;
      this.organisation = organisation;
      this.task = task;
    }

    private void addPiece() {
      pieces.add(organisation + "/" + number + "/" + pieces.size());
    }
  }
}
