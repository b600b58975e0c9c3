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
 * A runner: a queue with urgent work first, batch slots, prefill of one prompt at a time in chunks,
 * and a prefix cache that evicts what was unused longest, except pieces of running requests.
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
  private final Map<String, Integer> pins = new HashMap<>();
  private final Deque<Job> urgentWaiting = new ArrayDeque<>();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final Deque<Job> urgentPrefill = new ArrayDeque<>();
  private final Deque<Job> prefill = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private boolean isComputing;
  private boolean isLost;

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

  boolean isLost() {
    return isLost;
  }

  /** Takes a job, or returns false where its queue is full. */
  boolean submit(Job job, long nowMicros) {
    if (waiting.size() + urgentWaiting.size() >= engine.queueLimit()) {
      return false;
    }
    job.missingTokens =
        Math.min(
            job.request.promptTokens() - (long) cached(job) * TraceRequest.PIECE_TOKENS,
            job.route.computeTokens());
    (job.request.urgent() ? urgentWaiting : waiting).add(job);
    fillSlots(nowMicros);
    return true;
  }

  /** Loses the host, its cache and all its work, and returns that work. */
  List<Job> lose() {
    isLost = true;
    List<Job> lost = new ArrayList<>(running);
    lost.addAll(urgentWaiting);
    lost.addAll(waiting);
    running.clear();
    urgentWaiting.clear();
    waiting.clear();
    urgentPrefill.clear();
    prefill.clear();
    cache.clear();
    return lost;
  }

  /** Returns the load as the runner would report it. */
  Load load(long nowMicros) {
    long urgent = tokens(urgentWaiting) + tokens(urgentPrefill);
    long all = urgent + tokens(waiting) + tokens(prefill);
    return new Load(running.size(), urgentWaiting.size() + waiting.size(), all, nowMicros);
  }

  /** Returns the pieces that it holds. */
  List<String> contents() {
    return List.copyOf(cache.keySet());
  }

  private static long tokens(Deque<Job> jobs) {
    return jobs.stream().mapToLong(job -> job.missingTokens).sum();
  }

  private void fillSlots(long nowMicros) {
    while (running.size() < engine.slots() && waiting.size() + urgentWaiting.size() > 0) {
      Job job = urgentWaiting.isEmpty() ? waiting.poll() : urgentWaiting.poll();
      if (job.request.deadlineMicros() < nowMicros) {
        listener.expired(job, nowMicros);
        continue;
      }
      running.add(job);
      job.request.pieces().forEach(piece -> pins.merge(piece, 1, Integer::sum));
      listener.slotTaken(job, nowMicros);
    }
  }

  /** Has a job that holds a slot computed, once its imported pieces are there. */
  void ready(Job job, List<String> imported, long nowMicros) {
    if (running.contains(job)) {
      cachePieces(imported, nowMicros);
      (job.request.urgent() ? urgentPrefill : prefill).add(job);
      compute(nowMicros);
    }
  }

  private void compute(long nowMicros) {
    if (isComputing || urgentPrefill.size() + prefill.size() == 0) {
      return;
    }
    Deque<Job> queue = urgentPrefill.isEmpty() ? prefill : urgentPrefill;
    Job job = queue.peek();
    if (!job.isStarted) {
      job.isStarted = true;
      job.missingTokens = listener.missingTokens(job, cached(job));
      job.computedTokens = job.missingTokens;
    }
    long tokens = Math.min(engine.chunkTokens(), job.missingTokens);
    isComputing = true;
    loop.at(
        nowMicros + engine.prefillMicros(tokens), now -> chunkComputed(queue, job, tokens, now));
  }

  private void chunkComputed(Deque<Job> queue, Job job, long tokens, long nowMicros) {
    isComputing = false;
    if (isLost) {
      return;
    }
    job.missingTokens -= tokens;
    if (job.missingTokens <= 0) {
      queue.remove(job);
      cachePieces(job.request.pieces(), nowMicros);
      listener.firstToken(job, nowMicros);
      long gap = engine.tokenMicros(running.size());
      loop.at(nowMicros + gap * job.request.outputTokens(), now -> finished(job, gap, now));
    }
    compute(nowMicros);
  }

  private void finished(Job job, long gapMicros, long nowMicros) {
    if (running.remove(job)) {
      job.request.pieces().forEach(this::unpin);
      listener.finished(job, gapMicros, nowMicros);
      fillSlots(nowMicros);
    }
  }

  private void unpin(String piece) {
    pins.computeIfPresent(piece, (same, count) -> count == 1 ? null : count - 1);
  }

  private int cached(Job job) {
    List<String> pieces = job.request.pieces();
    int count = 0;
    while (count < pieces.size() && cache.get(pieces.get(count)) != null) {
      count++;
    }
    return count;
  }

  private void cachePieces(List<String> pieces, long nowMicros) {
    List<String> added = new ArrayList<>();
    List<String> evicted = new ArrayList<>();
    for (String piece : pieces.reversed()) {
      if (cache.put(piece, true) == null) {
        added.add(piece);
      }
    }
    Iterator<String> oldest = cache.keySet().iterator();
    while (cache.size() > engine.cachePieces() && oldest.hasNext()) {
      String piece = oldest.next();
      if (!pins.containsKey(piece)) {
        oldest.remove();
        evicted.add(piece);
      }
    }
    if (!added.isEmpty() || !evicted.isEmpty()) {
      listener.cacheChanged(this, added, evicted, nowMicros);
    }
  }

  /** Takes what happens on a runner. */
  interface Listener {
    /** Returns the prompt tokens to compute where so many leading pieces are cached. */
    long missingTokens(Job job, int cachedPieces);

    /** Takes a job that got a slot and may import; {@link FakeRunner#ready} has to follow. */
    void slotTaken(Job job, long nowMicros);

    /** Takes the first token of a job. */
    void firstToken(Job job, long nowMicros);

    /** Takes the end of a job and the time between its tokens. */
    void finished(Job job, long gapMicros, long nowMicros);

    /** Takes a job whose deadline passed before it got a slot. */
    void expired(Job job, long nowMicros);

    /** Takes a change of the prefix cache. */
    void cacheChanged(FakeRunner runner, List<String> added, List<String> evicted, long nowMicros);
  }

  /**
   * Load of a runner at a time.
   *
   * @param running requests in a slot
   * @param queued requests that wait for a slot
   * @param queuedTokens prompt tokens not computed yet, of queued and running requests
   * @param atMicros when that was so
   */
  record Load(int running, int queued, long queuedTokens, long atMicros) {}

  /** A request from its arrival to its outcome, over all its attempts. */
  static final class Call {
    final TraceRequest request;
    int attempts;
    boolean hasFirstToken;

    Call(TraceRequest request) {
      this.request = request;
    }
  }

  /** A request on its way through a runner. */
  static final class Job {
    final Call call;
    final TraceRequest request;
    final int node;
    final int runner;
    final Route route;
    long missingTokens;
    long slotAtMicros;
    long computedTokens;
    boolean isStarted;

    Job(Call call, int node, Route route) {
      this.call = call;
      this.node = node;
      this.route = route;
      runner = route.runner();
      request = call.request;
      missingTokens = request.promptTokens();
    }
  }
}
