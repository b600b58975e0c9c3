package org.dragonflyhill.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the runner of a request by the time until its first token and by the shared parts that
 * would be read again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerSelector {

  /** Prompt tokens that a runner reads in a second, from the users' sheet. */
  public static final double PREFILL_TOKENS_PER_SECOND = 85_200;

  /** Least time that a fetch takes, in seconds. */
  private static final double MIN_FETCH_SECONDS = 0.002;

  /** Time that a fetch from a runner must save against one from a store, in seconds. */
  private static final double RUNNER_SOURCE_PENALTY_SECONDS = 0.03;

  /** Part of a first token's time from which on a fetch is held to account for its delay. */
  private static final double SLOW_FETCH_SHARE = 0.25;

  /** A transfer between availability zones takes this many times as long, from the users' pages. */
  private static final double CROSS_ZONE_FACTOR = 2;

  /** Time that each request already running at a runner adds, in seconds. */
  private static final double SECONDS_PER_RUNNING = 0.004;

  /** Part of less urgent prompts that is read before an urgent one, measured on Strunova's site. */
  private static final double LESS_URGENT_PREFILL_SHARE = 0.3;

  /** Part of a runner's memory that a request leaves to more urgent ones, for each rank. */
  private static final double HEADROOM_PER_RANK = 0.02;

  /** Time in which a full runner gets its memory back, in seconds. */
  private static final double MEMORY_TURNOVER_SECONDS = 0.5;

  /** Time by which reading a shared token again counts for more than it takes, in seconds. */
  private static final double RECOMPUTE_SECONDS_PER_TOKEN = 0.12 / 1_000;

  /** Time that a recent failure counts for, in seconds. */
  private static final double SECONDS_PER_FAILURE = 0.4;

  /** Time that a silent runner counts for, in seconds. */
  private static final double SILENCE_PENALTY_SECONDS = 5;

  /** Time that a runner counts for that is changing its weights. */
  private static final double WEIGHT_CHANGE_PENALTY_SECONDS = 3;

  /** Time that an older weight version counts for, in seconds. */
  private static final double OLD_WEIGHTS_PENALTY_SECONDS = 1;

  /** Spread that makes nodes agree on a runner where all else is equal, in seconds. */
  private static final double TIE_BREAK_SECONDS = 0.02;

  /** Time that a hop to another availability zone adds, in seconds. */
  private static final double CROSS_ZONE_SECONDS = 0.002;

  private final PartDirectory directory;
  private final PeerTable peers;
  private final FetchSlowdowns fetchSlowdowns = new FetchSlowdowns();
  private final String ownZone;

  /** Creates a choice by what a directory and peers tell. */
  public RunnerSelector(PartDirectory directory, PeerTable peers, String ownZone) {
    this.directory = directory;
    this.peers = peers;
    this.ownZone = ownZone;
  }

  /** Returns the best runner for a request without a prompt. */
  public Optional<Runner> selectForPlainRequest(
      Collection<Runner> runners, String requestId, Instant now) {
    Runner best = null;
    double least = Double.MAX_VALUE;
    for (Runner runner : runners) {
      double load = (double) running(runner, now) / Math.max(1, runner.info().slots());
      double cost =
          load
              + penaltySeconds(runner, now)
              + tieBreakSeconds(requestId, runner)
              + crossZoneSeconds(runner);
      if (cost < least) {
        least = cost;
        best = runner;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the best runner for a prompt and where it should fetch parts from.
   *
   * @param request the prompt and its circumstances
   * @param runners runners that may be chosen
   * @param sources runners and stores that parts may be fetched from
   * @param now present time
   */
  public Optional<Selection> selectForPrompt(
      Request request, Collection<Runner> runners, Collection<Source> sources, Instant now) {
    Selection best = null;
    for (Runner runner : runners) {
      Selection placed = evaluate(request, runner, sources, now);
      if (best == null || placed.costSeconds() < best.costSeconds()) {
        best = placed;
      }
    }
    return Optional.ofNullable(best);
  }

  private Selection evaluate(
      Request request, Runner runner, Collection<Source> sources, Instant now) {
    List<Prompt.Part> shared = request.prompt().sharedParts();
    long version = runner.weightVersion(request.prompt().model());
    String salt = request.saltResolver().salt(version);
    Endpoint endpoint = runner.info().endpoint();
    int leading = directory.leadingParts(endpoint, salt, shared, now);
    long present = tokens(shared.subList(0, leading));
    List<Optional<Endpoint>> fetches = new ArrayList<>();
    double fetchSeconds = 0;
    boolean isUnbroken = true;
    for (int i = 0; i < shared.size(); i++) {
      Prompt.Part part = shared.get(i);
      Optional<Source> source = fetchSource(request, runner, salt, part, sources, now);
      // Also for a part that the runner should have: it may have dropped it by then.
      fetches.add(source.map(Source::endpoint));
      if (i < leading) {
        continue;
      }
      isUnbroken &= source.isPresent();
      if (isUnbroken) {
        fetchSeconds += fetchSeconds(request, source.get(), runner, part, now);
        present += part.tokens();
      }
    }
    long unread = Math.max(0, request.prompt().promptTokens() - present);
    long reread = Math.max(0, tokens(shared) - present);
    final int running = running(runner, now);
    final long unreadAhead = prefillTokensAhead(runner, request.rank(), now);
    final long unreadBehind = prefillTokensAhead(runner, Runner.RANKS, now) - unreadAhead;
    final double memorySeconds = memorySeconds(request, runner, now);
    final long displaced = preemptedTokens(request, runner, now);
    double waitSeconds =
        (unreadAhead + unreadBehind * LESS_URGENT_PREFILL_SHARE) / PREFILL_TOKENS_PER_SECOND
            + running * SECONDS_PER_RUNNING
            + memorySeconds;
    double firstToken =
        (waitSeconds + fetchSeconds + unread / PREFILL_TOKENS_PER_SECOND) * runner.slowness();
    double cost =
        firstToken
            + reread * RECOMPUTE_SECONDS_PER_TOKEN
            + displaced / PREFILL_TOKENS_PER_SECOND
            + displaced * RECOMPUTE_SECONDS_PER_TOKEN
            + penaltySeconds(runner, now)
            + crossZoneSeconds(runner)
            + tieBreakSeconds(request.affinityKey(), runner);
    if (version < request.newestWeightVersion()) {
      cost += OLD_WEIGHTS_PENALTY_SECONDS;
    }
    return new Selection(
        runner,
        version,
        salt,
        fetches,
        unread,
        unreadAhead,
        memorySeconds,
        displaced,
        fetchSeconds,
        firstToken,
        cost,
        running);
  }

  private double fetchSeconds(
      Request request, Source source, Runner runner, Prompt.Part part, Instant now) {
    double seconds = nominalFetchSeconds(request, source, runner, part);
    return MIN_FETCH_SECONDS + seconds * fetchSlowdowns.factor(source.endpoint(), now);
  }

  private static double nominalFetchSeconds(
      Request request, Source source, Runner runner, Prompt.Part part) {
    double seconds = part.tokens() * request.bytesPerToken() / source.linkBytesPerSecond();
    boolean isNear = source.zone().equals(runner.info().zone());
    return isNear ? seconds : seconds * CROSS_ZONE_FACTOR;
  }

  /** Returns where a part is fetched from soonest, empty where reading it costs less. */
  private Optional<Source> fetchSource(
      Request request,
      Runner runner,
      String salt,
      Prompt.Part part,
      Collection<Source> sources,
      Instant now) {
    Source best = null;
    double least =
        part.tokens() / PREFILL_TOKENS_PER_SECOND + part.tokens() * RECOMPUTE_SECONDS_PER_TOKEN;
    for (Source source : sources) {
      if (source.endpoint().equals(runner.info().endpoint())
          || !directory.holds(source.endpoint(), salt, part)) {
        continue;
      }
      // A store keeps what it has; a runner may drop it before the fetch begins.
      double risk = source.isManaged() ? 0 : RUNNER_SOURCE_PENALTY_SECONDS;
      double seconds = fetchSeconds(request, source, runner, part, now) + risk;
      if (seconds < least) {
        best = source;
        least = seconds;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Notes how long a first token took, to learn of slow runners and slow sources. */
  public void recordTimeToFirstToken(Selection placed, double seconds, Instant now) {
    if (placed.fetchSeconds() > placed.firstTokenSeconds() * SLOW_FETCH_SHARE) {
      double rest = placed.firstTokenSeconds() - placed.fetchSeconds();
      placed.fetchSources().stream()
          .flatMap(Optional::stream)
          .distinct()
          .forEach(
              source ->
                  fetchSlowdowns.recordFetch(
                      source,
                      Math.max(0, seconds - rest),
                      placed.fetchSeconds() / fetchSlowdowns.factor(source, now),
                      now));
      return;
    }
    placed.runner().recordTimeToFirstToken(seconds, placed.firstTokenSeconds());
  }

  private static long tokens(List<Prompt.Part> parts) {
    long sum = 0;
    for (Prompt.Part part : parts) {
      sum += part.tokens();
    }
    return sum;
  }

  private double penaltySeconds(Runner runner, Instant now) {
    boolean isQuiet = runner.isSilent(now) && !directory.isFresh(runner.info().endpoint(), now);
    double silence = isQuiet ? SILENCE_PENALTY_SECONDS : 0;
    double change =
        runner.isChangingWeights() || peers.isChangingWeights(runner.id(), now)
            ? WEIGHT_CHANGE_PENALTY_SECONDS
            : 0;
    return silence + change + runner.failureScore(now) * SECONDS_PER_FAILURE;
  }

  /** Returns the wait for memory that only equally or more urgent requests hold up. */
  private double memorySeconds(Request request, Runner runner, Instant now) {
    long wanted = memoryTokensAhead(runner, request.rank(), now) + request.prompt().memoryTokens();
    double excess = Math.max(0, wanted - request.runnerMemoryTokens());
    return excess / Math.max(1, request.runnerMemoryTokens()) * MEMORY_TURNOVER_SECONDS;
  }

  /**
   * Returns the tokens of others that a request would push out of memory, now or when a more urgent
   * one comes. They are read again later.
   */
  private long preemptedTokens(Request request, Runner runner, Instant now) {
    long needed = request.prompt().memoryTokens();
    double headroom = HEADROOM_PER_RANK * request.rank();
    long room = (long) (request.runnerMemoryTokens() * (1 - headroom));
    long excess = memoryTokensAhead(runner, Runner.RANKS, now) + needed - room;
    return Math.max(0, Math.min(needed, excess));
  }

  private long memoryTokensAhead(Runner runner, int rank, Instant now) {
    return runner.memoryTokensAhead(rank) + peers.memoryTokensAhead(runner.id(), rank, now);
  }

  private int running(Runner runner, Instant now) {
    return runner.running() + peers.running(runner.id(), now);
  }

  private long prefillTokensAhead(Runner runner, int urgency, Instant now) {
    return runner.prefillTokensAhead(urgency) + peers.prefillTokensAhead(runner.id(), urgency, now);
  }

  private double crossZoneSeconds(Runner runner) {
    return runner.info().zone().equals(ownZone) ? 0 : CROSS_ZONE_SECONDS;
  }

  private static double tieBreakSeconds(String key, Runner runner) {
    int hash = (key + '\n' + runner.id()).hashCode() * 0x9E3779B9;
    return (hash >>> 8) * TIE_BREAK_SECONDS / (1 << 24);
  }

  /** Names the salt of a weight version. */
  @FunctionalInterface
  public interface SaltResolver {
    /** Returns the salt under which cache of this request is kept. */
    String salt(long weightVersion);
  }

  /**
   * What is to be placed.
   *
   * @param prompt its prompt
   * @param saltResolver names its salts
   * @param affinityKey equal for requests that share a history
   * @param bytesPerToken bytes of KV cache for one token
   * @param runnerMemoryTokens KV memory of a runner, in tokens
   * @param rank its rank, 0 for the first
   * @param newestWeightVersion newest weight version that was named
   */
  public record Request(
      Prompt prompt,
      SaltResolver saltResolver,
      String affinityKey,
      double bytesPerToken,
      long runnerMemoryTokens,
      int rank,
      long newestWeightVersion) {}

  /**
   * A runner or store that parts may be fetched from.
   *
   * @param endpoint where it is
   * @param zone its availability zone
   * @param linkBytesPerSecond bandwidth of its link
   * @param isManaged whether it drops nothing on its own
   */
  public record Source(
      Endpoint endpoint, String zone, double linkBytesPerSecond, boolean isManaged) {}

  /**
   * A chosen runner.
   *
   * @param runner the runner
   * @param weightVersion version that the runner was seen to have, 0 if unknown
   * @param salt salt of the request under that version
   * @param fetchSources where it should fetch each shared part from if it lacks it
   * @param prefillTokens prompt tokens that are left to read
   * @param prefillTokensAhead tokens of other prompts that are read before
   * @param memorySeconds estimated wait for memory
   * @param preemptedTokens tokens of others that it would push out of memory
   * @param fetchSeconds estimated time of the fetches
   * @param firstTokenSeconds estimated time to the first token
   * @param costSeconds cost by which runners are compared
   * @param running requests of all nodes that are at the runner
   */
  public record Selection(
      Runner runner,
      long weightVersion,
      String salt,
      List<Optional<Endpoint>> fetchSources,
      long prefillTokens,
      long prefillTokensAhead,
      double memorySeconds,
      long preemptedTokens,
      double fetchSeconds,
      double firstTokenSeconds,
      double costSeconds,
      int running) {

    /** Returns what the estimate rests on, for a log line. */
    public String explanation() {
      String form =
          "first token expected in %d ms at runner %s: %d running, slowness %.2f, tokens unread"
              + " %d and %d ahead, memory in %d ms for %d displaced, fetched in %d ms";
      return form.formatted(
          millis(firstTokenSeconds),
          runner.id(),
          running,
          runner.slowness(),
          prefillTokens,
          prefillTokensAhead,
          millis(memorySeconds),
          preemptedTokens,
          millis(fetchSeconds));
    }

    private static long millis(double seconds) {
      return Math.round(seconds * 1_000);
    }
  }
}
