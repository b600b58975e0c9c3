package org.dragonflyhill.core.relay;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the runner of a request by its cost: the estimated time to first token plus penalties,
 * for example for shared parts whose KV cache would have to be computed again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerSelector {

  /** Minimum duration of a fetch, in seconds. */
  private static final double MIN_FETCH_SECONDS = 0.002;

  /** Time by which a fetch from a runner must be faster than one from a store, in seconds. */
  private static final double RUNNER_SOURCE_PENALTY_SECONDS = 0.03;

  /**
   * Share of the estimated time to first token above which fetches, rather than the runner, are
   * considered the cause of a delay.
   */
  private static final double SLOW_FETCH_SHARE = 0.25;

  /**
   * Factor by which transfers between availability zones take longer, from the platform
   * specification.
   */
  private static final double CROSS_ZONE_FACTOR = 2;

  /**
   * Fraction of the queued prompt tokens of less urgent requests that is prefilled before a more
   * urgent request.
   */
  private static final double LESS_URGENT_PREFILL_SHARE = 0.3;

  /** Fraction of the memory of a runner that a request leaves to each more urgent rank. */
  private static final double HEADROOM_PER_RANK = 0.02;

  /** Time in which a runner with full memory frees all of it, in seconds. */
  private static final double MEMORY_TURNOVER_SECONDS = 0.5;

  /**
   * Cost of computing the KV cache of a shared token again, in addition to the time that it takes,
   * in seconds.
   */
  private static final double RECOMPUTE_SECONDS_PER_TOKEN = 0.12 / 1_000;

  /** Penalty per point of the failure score, in seconds. */
  private static final double SECONDS_PER_FAILURE = 0.4;

  /** Penalty of a silent runner, in seconds. */
  private static final double SILENCE_PENALTY_SECONDS = 5;

  /** Penalty of a runner that is changing its weights, in seconds. */
  private static final double WEIGHT_CHANGE_PENALTY_SECONDS = 3;

  /** Penalty of a runner with an older weight version, in seconds. */
  private static final double OLD_WEIGHTS_PENALTY_SECONDS = 1;

  /**
   * Maximum of the pseudo-random cost by which all nodes prefer the same runner for a key if the
   * costs are equal otherwise, in seconds.
   */
  private static final double TIE_BREAK_SECONDS = 0.02;

  /** Network delay to another availability zone, in seconds. */
  private static final double CROSS_ZONE_SECONDS = 0.002;

  /** Number of runners that are compared for a request if the loads known of peers are old. */
  private static final int CHOICES_AT_OLD_LOADS = 2;

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final PartDirectory directory;
  private final PeerTable peers;
  private final FetchSlowdowns fetchSlowdowns = new FetchSlowdowns();
  private final AnnouncedWeights announcedWeights;
  private final WeightsDeadline weightsDeadline;
  private final String ownZone;

  /**
   * Creates a selector.
   *
   * @param directory cached parts of runners and stores
   * @param peers load that other nodes report
   * @param announcedWeights announced weight versions
   * @param weightsDeadline when requests must no longer begin on replaced weights
   * @param ownZone availability zone of this node
   */
  public RunnerSelector(
      PartDirectory directory,
      PeerTable peers,
      AnnouncedWeights announcedWeights,
      WeightsDeadline weightsDeadline,
      String ownZone) {
    this.directory = directory;
    this.peers = peers;
    this.announcedWeights = announcedWeights;
    this.weightsDeadline = weightsDeadline;
    this.ownZone = ownZone;
  }

  /**
   * Returns the runner with the lowest cost for a request without a prompt. Runners on which it
   * would begin too late on replaced weights are left out. With many peers, whose loads are known
   * late, two runners chosen at random are compared: all nodes would send to the least loaded one
   * until they hear of each other's requests.
   */
  public Optional<Runner> selectForPlainRequest(
      Collection<Runner> runners, String requestId, Instant now) {
    Runner best = null;
    double lowestCost = Double.MAX_VALUE;
    // The model of the request is not known, so it may be any that the runner has.
    List<Runner> permitted =
        runners.stream()
            .filter(runner -> weightsDeadline.maySend(announcedWeights.replacedAt(runner), 0, now))
            .toList();
    for (Runner runner : peers.areLoadsOld() ? choices(permitted, requestId, now) : permitted) {
      double load = (double) running(runner, now) / Math.max(1, runner.info().slots());
      double cost =
          load
              + penaltySeconds(runner, now)
              + tieBreakSeconds(requestId, runner)
              + crossZoneSeconds(runner);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = runner;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns two runners chosen by a request's id, of those without a penalty if there are two. */
  private List<Runner> choices(Collection<Runner> runners, String requestId, Instant now) {
    return runners.stream()
        .sorted(
            Comparator.<Runner>comparingDouble(runner -> penaltySeconds(runner, now))
                .thenComparingDouble(runner -> tieBreakSeconds(requestId, runner)))
        .limit(CHOICES_AT_OLD_LOADS)
        .toList();
  }

  /**
   * Returns the runner with the lowest cost for a prompt and the sources from which it should fetch
   * parts. Runners on which the request would begin too late on replaced weights are left out.
   *
   * @param request the request
   * @param runners candidate runners
   * @param sources runners and stores from which parts may be fetched
   * @param now present time
   */
  public Optional<Selection> selectForPrompt(
      Request request, Collection<Runner> runners, Collection<Source> sources, Instant now) {
    Selection best = null;
    PartSources partSources = new PartSources(directory, request.prompt().sharedParts(), sources);
    for (Runner runner : runners) {
      Selection selection = evaluate(request, runner, partSources, now);
      Optional<Instant> replacedAt =
          announcedWeights.replacedAt(request.prompt().model(), selection.weightVersion());
      if (!weightsDeadline.maySend(replacedAt, selection.firstTokenSeconds(), now)) {
        continue;
      }
      if (best == null || selection.costSeconds() < best.costSeconds()) {
        best = selection;
      }
    }
    return Optional.ofNullable(best);
  }

  private Selection evaluate(Request request, Runner runner, PartSources sources, Instant now) {
    List<Prompt.Part> shared = request.prompt().sharedParts();
    long version = runner.weightVersion(request.prompt().model());
    String salt = request.saltResolver().salt(version);
    Endpoint endpoint = runner.info().endpoint();
    final double tokensPerSecond = runner.capacity().estimatedTokensPerSecond(now);
    int leading = directory.leadingParts(endpoint, salt, shared, now);
    long present = sumTokens(shared.subList(0, leading));
    List<Optional<Endpoint>> fetchSources = new ArrayList<>();
    List<Endpoint> sourcesOfMissing = new ArrayList<>();
    double fetchSeconds = 0;
    boolean isPrefixCovered = true;
    for (int i = 0; i < shared.size(); i++) {
      Prompt.Part part = shared.get(i);
      // Parts of unknown weights may be of other weights than the runner's.
      List<Source> holders = version == Runner.UNKNOWN_WEIGHTS ? List.of() : sources.of(salt, i);
      Optional<Source> source = fetchSource(request, runner, part, holders, now);
      // Parts that the runner should have get a source too, since it may have evicted them by then.
      fetchSources.add(source.map(Source::endpoint));
      if (i < leading) {
        continue;
      }
      isPrefixCovered &= source.isPresent();
      if (isPrefixCovered) {
        sourcesOfMissing.add(source.get().endpoint());
        fetchSeconds += fetchSeconds(request, source.get(), runner, part, now);
        present += part.tokens();
      }
    }
    long prefillTokens = Math.max(0, request.prompt().promptTokens() - present);
    long recomputedTokens = Math.max(0, sumTokens(shared) - present);
    final int running = running(runner, now);
    final long prefillTokensAhead = prefillTokensAhead(runner, request.rank(), now);
    final long prefillTokensBehind =
        prefillTokensAhead(runner, Runner.RANKS, now) - prefillTokensAhead;
    final double memorySeconds = memorySeconds(request, runner, now);
    final long preemptedTokens = preemptedTokens(request, runner, now);
    final double queueSeconds =
        (prefillTokensAhead + prefillTokensBehind * LESS_URGENT_PREFILL_SHARE) / tokensPerSecond;
    double waitSeconds =
        queueSeconds + running * runner.capacity().estimatedSecondsPerRunning(now) + memorySeconds;
    double firstTokenSeconds =
        (waitSeconds + fetchSeconds + prefillTokens / tokensPerSecond) * runner.slowness();
    double cost =
        firstTokenSeconds
            + recomputedTokens * RECOMPUTE_SECONDS_PER_TOKEN
            + preemptedTokens / tokensPerSecond
            + preemptedTokens * RECOMPUTE_SECONDS_PER_TOKEN
            + penaltySeconds(runner, now)
            + crossZoneSeconds(runner)
            + tieBreakSeconds(request.affinityKey(), runner);
    if (version < announcedWeights.newest(request.prompt().model())) {
      cost += OLD_WEIGHTS_PENALTY_SECONDS;
    }
    return new Selection(
        runner,
        version,
        salt,
        fetchSources,
        sourcesOfMissing,
        prefillTokens,
        prefillTokensAhead,
        tokensPerSecond,
        queueSeconds,
        memorySeconds,
        preemptedTokens,
        fetchSeconds,
        firstTokenSeconds,
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
    boolean isSameZone = source.zone().equals(runner.info().zone());
    return isSameZone ? seconds : seconds * CROSS_ZONE_FACTOR;
  }

  /** Returns the fastest of the sources that hold a part, empty if prefilling it costs less. */
  private Optional<Source> fetchSource(
      Request request, Runner runner, Prompt.Part part, List<Source> sources, Instant now) {
    Source best = null;
    double lowestCost =
        part.tokens() / runner.capacity().estimatedTokensPerSecond(now)
            + part.tokens() * RECOMPUTE_SECONDS_PER_TOKEN;
    for (Source source : sources) {
      if (source.endpoint().equals(runner.info().endpoint())) {
        continue;
      }
      // A managed store evicts nothing; other sources may evict the part before the fetch begins.
      double risk = source.isManaged() ? 0 : RUNNER_SOURCE_PENALTY_SECONDS;
      double seconds = fetchSeconds(request, source, runner, part, now) + risk;
      if (seconds < lowestCost) {
        best = source;
        lowestCost = seconds;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Updates the slowness and the capacity of the runner, or the slowness of the fetch sources, from
   * a time to first token.
   */
  public void recordTimeToFirstToken(Selection selection, double seconds, Instant now) {
    if (selection.fetchSeconds() > selection.firstTokenSeconds() * SLOW_FETCH_SHARE) {
      double otherSeconds = selection.firstTokenSeconds() - selection.fetchSeconds();
      selection.sourcesOfMissing().stream()
          .distinct()
          .forEach(
              source ->
                  fetchSlowdowns.recordFetch(
                      source,
                      Math.max(0, seconds - otherSeconds),
                      selection.fetchSeconds() / fetchSlowdowns.factor(source, now),
                      now));
      return;
    }
    selection.runner().recordTimeToFirstToken(seconds, selection.firstTokenSeconds());
    // A request that waits for memory also preempts tokens by the estimate.
    if (selection.fetchSeconds() == 0 && selection.preemptedTokens() == 0) {
      selection
          .runner()
          .learnCapacity(
              selection.prefillTokens(),
              selection.running(),
              selection.queueSeconds(),
              seconds,
              now);
    }
  }

  private static long sumTokens(List<Prompt.Part> parts) {
    long sum = 0;
    for (Prompt.Part part : parts) {
      sum += part.tokens();
    }
    return sum;
  }

  private double penaltySeconds(Runner runner, Instant now) {
    boolean isSilent = runner.isSilent(now) && !directory.isFresh(runner.info().endpoint(), now);
    double silence = isSilent ? SILENCE_PENALTY_SECONDS : 0;
    double change =
        runner.isChangingWeights() || peers.isChangingWeights(runner.id(), now)
            ? WEIGHT_CHANGE_PENALTY_SECONDS
            : 0;
    return silence + change + runner.failureScore(now) * SECONDS_PER_FAILURE;
  }

  /** Returns the estimated wait for memory held by requests of the same or a more urgent rank. */
  private double memorySeconds(Request request, Runner runner, Instant now) {
    long wanted = memoryTokensAhead(runner, request.rank(), now) + request.prompt().memoryTokens();
    double excess = Math.max(0, wanted - request.runnerMemoryTokens());
    return excess / Math.max(1, request.runnerMemoryTokens()) * MEMORY_TURNOVER_SECONDS;
  }

  /**
   * Returns the number of tokens by which a request exceeds the free memory less the headroom for
   * more urgent requests. As many tokens are preempted, now or by a later, more urgent request, and
   * have to be prefilled again.
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

  private long prefillTokensAhead(Runner runner, int rank, Instant now) {
    return runner.prefillTokensAhead(rank) + peers.prefillTokensAhead(runner.id(), rank, now);
  }

  private double crossZoneSeconds(Runner runner) {
    return runner.info().zone().equals(ownZone) ? 0 : CROSS_ZONE_SECONDS;
  }

  private static double tieBreakSeconds(String key, Runner runner) {
    // A sum of the two hash codes would order the runners alike for all keys, up to a rotation, and
    // prefer some of them several times as often as others.
    long hash = HASHER.hashLongLongToLong(key.hashCode(), runner.id().hashCode());
    return (hash >>> 40) * TIE_BREAK_SECONDS / (1 << 24);
  }

  /** Resolves the salt of a request for a weight version. */
  @FunctionalInterface
  public interface SaltResolver {
    /** Returns the salt under which the KV cache of the request is stored. */
    String salt(long weightVersion);
  }

  /**
   * A request for which a runner is selected.
   *
   * @param prompt prompt of the request
   * @param saltResolver names its salts
   * @param affinityKey key that is equal for requests with the same shared parts
   * @param bytesPerToken bytes of KV cache per token
   * @param runnerMemoryTokens KV memory per runner, in tokens
   * @param rank scheduling rank of the request, 0 for the most urgent
   */
  public record Request(
      Prompt prompt,
      SaltResolver saltResolver,
      String affinityKey,
      double bytesPerToken,
      long runnerMemoryTokens,
      int rank) {}

  /**
   * A runner or store from which parts may be fetched.
   *
   * @param endpoint network address
   * @param zone availability zone
   * @param linkBytesPerSecond bandwidth of the network link
   * @param isManaged whether the source is a store that evicts nothing on its own
   */
  public record Source(
      Endpoint endpoint, String zone, double linkBytesPerSecond, boolean isManaged) {}

  /**
   * A selected runner with the estimates on which the selection is based.
   *
   * @param runner the runner
   * @param weightVersion weight version observed at the runner, {@link Runner#UNKNOWN_WEIGHTS} if
   *     none was
   * @param salt salt of the request for that weight version
   * @param fetchSources source from which the runner should fetch each shared part if it lacks it
   * @param sourcesOfMissing sources of the parts that the runner is expected to lack
   * @param prefillTokens prompt tokens that the runner has to prefill
   * @param prefillTokensAhead tokens of other prompts that the runner prefills first
   * @param prefillTokensPerSecond estimated prefill rate of the runner
   * @param queueSeconds estimated time for the prompts of other requests, without slowness
   * @param memorySeconds estimated wait for memory
   * @param preemptedTokens tokens of other requests that the request would preempt from memory
   * @param fetchSeconds estimated duration of the fetches
   * @param firstTokenSeconds estimated time to the first token
   * @param costSeconds cost by which runners are compared
   * @param running number of requests of all nodes that are running at the runner
   */
  public record Selection(
      Runner runner,
      long weightVersion,
      String salt,
      List<Optional<Endpoint>> fetchSources,
      List<Endpoint> sourcesOfMissing,
      long prefillTokens,
      long prefillTokensAhead,
      double prefillTokensPerSecond,
      double queueSeconds,
      double memorySeconds,
      long preemptedTokens,
      double fetchSeconds,
      double firstTokenSeconds,
      double costSeconds,
      int running) {

    /** Returns a description of the estimate for the log. */
    public String explanation() {
      String form =
          "first token expected in %d ms at runner %s: %d running, slowness %.2f, tokens to prefill"
              + " %d and %d ahead, memory wait %d ms, %d tokens preempted, fetches %d ms, prefill"
              + " rate %d tokens/s";
      return form.formatted(
          millis(firstTokenSeconds),
          runner.id(),
          running,
          runner.slowness(),
          prefillTokens,
          prefillTokensAhead,
          millis(memorySeconds),
          preemptedTokens,
          millis(fetchSeconds),
          Math.round(prefillTokensPerSecond));
    }

    private static long millis(double seconds) {
      return Math.round(seconds * 1_000);
    }
  }
}
