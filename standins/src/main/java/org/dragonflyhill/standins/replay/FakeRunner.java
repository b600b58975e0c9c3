package org.dragonflyhill.standins.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.standins.replay.Deployment.Engine;

/**
 * A simulated runner: a bounded queue that serves urgent requests first, slots for concurrent
 * requests, chunked prefill of one prompt at a time, and an LRU prefix cache in which the pieces of
 * running requests are pinned.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class FakeRunner {

  private final String name;
  private final String zone;
  private final Engine engine;
  private final FakeLink link;
  private final EventLoop loop;
  private final Listener listener;
  private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Integer> pinCounts = new HashMap<>();
  private final Deque<Job> urgentWaiting = new ArrayDeque<>();
  private final Deque<Job> ordinaryWaiting = new ArrayDeque<>();
  private final Deque<Job> urgentPrefill = new ArrayDeque<>();
  private final Deque<Job> ordinaryPrefill = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private boolean isPrefilling;
  private boolean isFailed;

  /** Creates an idle runner with an empty cache. */
  FakeRunner(
      String name, String zone, Engine engine, FakeLink link, EventLoop loop, Listener listener) {
    this.name = name;
    this.zone = zone;
    this.engine = engine;
    this.link = link;
    this.loop = loop;
    this.listener = listener;
  }

  String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  FakeLink link() {
    return link;
  }

  boolean isFailed() {
    return isFailed;
  }

  /** Queues a job, or returns false if the queue is full. */
  boolean submit(Job job, long nowMicros) {
    if (ordinaryWaiting.size() + urgentWaiting.size() >= engine.queueLimit()) {
      return false;
    }
    job.remainingTokens =
        Math.min(
            job.request.promptTokens() - (long) cachedPrefixPieces(job) * TraceRequest.PIECE_TOKENS,
            job.route.computeTokens());
    (job.request.urgent() ? urgentWaiting : ordinaryWaiting).add(job);
    fillSlots(nowMicros);
    return true;
  }

  /** Simulates the loss of the host, with its cache and all jobs, and returns those jobs. */
  List<Job> fail() {
    isFailed = true;
    List<Job> aborted = new ArrayList<>(running);
    aborted.addAll(urgentWaiting);
    aborted.addAll(ordinaryWaiting);
    running.clear();
    urgentWaiting.clear();
    ordinaryWaiting.clear();
    urgentPrefill.clear();
    ordinaryPrefill.clear();
    cache.clear();
    return aborted;
  }

  /** Returns the current load, as in a load report. */
  Load load(long nowMicros) {
    long urgentTokens = remainingTokens(urgentWaiting) + remainingTokens(urgentPrefill);
    long allTokens =
        urgentTokens + remainingTokens(ordinaryWaiting) + remainingTokens(ordinaryPrefill);
    return new Load(
        running.size(), urgentWaiting.size() + ordinaryWaiting.size(), allTokens, nowMicros);
  }

  /** Returns the pieces in the prefix cache. */
  List<String> cacheContents() {
    return List.copyOf(cache.keySet());
  }

  private static long remainingTokens(Deque<Job> jobs) {
    return jobs.stream().mapToLong(job -> job.remainingTokens).sum();
  }

  private void fillSlots(long nowMicros) {
    while (running.size() < engine.slots() && ordinaryWaiting.size() + urgentWaiting.size() > 0) {
      Job job = urgentWaiting.isEmpty() ? ordinaryWaiting.poll() : urgentWaiting.poll();
      if (job.request.deadlineMicros() < nowMicros) {
        listener.expired(job, nowMicros);
        continue;
      }
      running.add(job);
      job.request.pieces().forEach(piece -> pinCounts.merge(piece, 1, Integer::sum));
      listener.slotTaken(job, nowMicros);
    }
  }

  /** Queues the prefill of a job that holds a slot, after the import of its pieces has ended. */
  void startPrefill(Job job, List<String> imported, long nowMicros) {
    if (running.contains(job)) {
      addToCache(imported, nowMicros);
      (job.request.urgent() ? urgentPrefill : ordinaryPrefill).add(job);
      computeNextChunk(nowMicros);
    }
  }

  private void computeNextChunk(long nowMicros) {
    if (isPrefilling || urgentPrefill.size() + ordinaryPrefill.size() == 0) {
      return;
    }
    Deque<Job> queue = urgentPrefill.isEmpty() ? ordinaryPrefill : urgentPrefill;
    Job job = queue.peek();
    if (!job.isPrefillStarted) {
      job.isPrefillStarted = true;
      job.remainingTokens = listener.tokensToCompute(job, cachedPrefixPieces(job));
      job.computedTokens = job.remainingTokens;
    }
    long tokens = Math.min(engine.chunkTokens(), job.remainingTokens);
    isPrefilling = true;
    loop.schedule(
        nowMicros + engine.prefillMicros(tokens), now -> chunkComputed(queue, job, tokens, now));
  }

  private void chunkComputed(Deque<Job> queue, Job job, long tokens, long nowMicros) {
    isPrefilling = false;
    if (isFailed) {
      return;
    }
    job.remainingTokens -= tokens;
    if (job.remainingTokens <= 0) {
      queue.remove(job);
      addToCache(job.request.pieces(), nowMicros);
      listener.firstToken(job, nowMicros);
      long tokenMicros = engine.tokenMicros(running.size());
      loop.schedule(
          nowMicros + tokenMicros * job.request.outputTokens(),
          now -> finished(job, tokenMicros, now));
    }
    computeNextChunk(nowMicros);
  }

  private void finished(Job job, long gapMicros, long nowMicros) {
    if (running.remove(job)) {
      job.request.pieces().forEach(this::unpin);
      listener.finished(job, gapMicros, nowMicros);
      fillSlots(nowMicros);
    }
  }

  private void unpin(String piece) {
    pinCounts.computeIfPresent(piece, (key, count) -> count == 1 ? null : count - 1);
  }

  private int cachedPrefixPieces(Job job) {
    List<String> pieces = job.request.pieces();
    int count = 0;
    while (count < pieces.size() && cache.get(pieces.get(count)) != null) {
      count++;
    }
    return count;
  }

  private void addToCache(List<String> pieces, long nowMicros) {
    List<String> added = new ArrayList<>();
    List<String> evicted = new ArrayList<>();
    for (String piece : pieces.reversed()) {
      if (cache.put(piece, true) == null) {
        added.add(piece);
      }
    }
    Iterator<String> leastRecentlyUsed = cache.keySet().iterator();
    while (cache.size() > engine.cachePieces() && leastRecentlyUsed.hasNext()) {
      String piece = leastRecentlyUsed.next();
      if (!pinCounts.containsKey(piece)) {
        leastRecentlyUsed.remove();
        evicted.add(piece);
      }
    }
    if (!added.isEmpty() || !evicted.isEmpty()) {
      listener.cacheChanged(this, added, evicted, nowMicros);
    }
  }

  /** Receives the events of a runner. */
  interface Listener {
    /** Returns the prompt tokens to compute if a number of leading pieces are cached. */
    long tokensToCompute(Job job, int cachedPieces);

    /**
     * Called when a job takes a slot. Has to import its pieces, if any, and then call {@link
     * FakeRunner#startPrefill}.
     */
    void slotTaken(Job job, long nowMicros);

    /** Called when the first output token of a job is computed. */
    void firstToken(Job job, long nowMicros);

    /** Called at the end of a job, with the time between its output tokens. */
    void finished(Job job, long gapMicros, long nowMicros);

    /** Called when the deadline of a job has passed before it got a slot. */
    void expired(Job job, long nowMicros);

    /** Called after a change of the prefix cache. */
    void cacheChanged(FakeRunner runner, List<String> added, List<String> evicted, long nowMicros);
  }

  /**
   * Load of a runner at a time.
   *
   * @param running requests that hold a slot
   * @param queued requests that wait for a slot
   * @param queuedTokens prompt tokens of queued and running requests that are not computed yet
   * @param atMicros time of the measurement
   */
  record Load(int running, int queued, long queuedTokens, long atMicros) {}

  /** A request from its arrival to its outcome, across all attempts. */
  static final class Call {
    final TraceRequest request;
    int attempts;
    boolean hasFirstToken;

    Call(TraceRequest request) {
      this.request = request;
    }
  }

  /** One attempt to run a request on a runner. */
  static final class Job {
    final Call call;
    final TraceRequest request;
    final int node;
    final int runner;
    final Route route;
    long remainingTokens;
    long slotTakenAtMicros;
    long computedTokens;
    boolean isPrefillStarted;

    Job(Call call, int node, Route route) {
      this.call = call;
      this.node = node;
      this.route = route;
      runner = route.runner();
      request = call.request;
      remainingTokens = request.promptTokens();
    }
  }
}
