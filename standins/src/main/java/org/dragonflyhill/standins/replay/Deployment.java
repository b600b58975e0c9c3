package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.List;
import org.dragonflyhill.core.Placement;

/**
 * An example deployment: its hosts, its settings and the tasks of its callers.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name of the deployment
 * @param zones names of the availability zones; endpoints and nodes are assigned to them in turn
 * @param zoneLatency one-way latency between two zones
 * @param clientLatency one-way latency between callers and nodes
 * @param engine speed and size of each runner
 * @param runners number of runners
 * @param stores number of stores
 * @param storeBytes bytes that a store holds
 * @param storeLinkBytesPerSecond bandwidth of a store's link
 * @param nodes number of nodes, the hosts that receive requests from callers
 * @param reservedSlots slots of each runner that ordinary requests leave to urgent ones
 * @param ordinaryWaitLimit expected wait above which ordinary requests are refused
 * @param weights weights of the cost function of the placement
 * @param tasks kinds of requests
 */
public record Deployment(
    String name,
    List<String> zones,
    Duration zoneLatency,
    Duration clientLatency,
    Engine engine,
    int runners,
    int stores,
    long storeBytes,
    long storeLinkBytesPerSecond,
    int nodes,
    int reservedSlots,
    Duration ordinaryWaitLimit,
    Placement.Weights weights,
    List<Task> tasks) {

  private static final Engine ENGINE =
      new Engine(48, 600, 10_000, 512, 32_768, 3_125_000_000L, Duration.ofMillis(20), 64);
  private static final long STORE_BYTES = 4_000_000_000_000L;
  private static final long STORE_LINK_BYTES_PER_SECOND = 12_500_000_000L;

  /** Alarm handling for chicken farms: urgent requests, which peak at night. */
  public static final Deployment RIQUELME =
      new Deployment(
          "riquelme",
          List.of("rancagua", "melipilla", "san-fernando"),
          Duration.ofMillis(1),
          Duration.ofMillis(3),
          ENGINE,
          8,
          2,
          STORE_BYTES,
          STORE_LINK_BYTES_PER_SECOND,
          4,
          12,
          Duration.ofMillis(700),
          new Placement.Weights(1, 0.3),
          List.of(
              task("alert", true, true, 0.30, 1, 3, 100, 300, 16, 3),
              task("dispatch", true, false, 0.10, 1, 2, 100, 200, 30, 10),
              task("reading", false, true, 0.20, 2, 5, 100, 300, 60, 15),
              task("question", false, true, 0.25, 1, 4, 100, 500, 120, 15),
              task("summary", false, true, 0.15, 3, 8, 200, 1_800, 400, 60)));

  /** Racket stringing: advice on long histories, which peaks on tournament mornings. */
  public static final Deployment STRUNOVA =
      new Deployment(
          "strunova",
          List.of("zvolen", "banska", "brezno"),
          Duration.ofNanos(1_500_000),
          Duration.ofMillis(1),
          ENGINE,
          8,
          2,
          STORE_BYTES,
          STORE_LINK_BYTES_PER_SECOND,
          4,
          0,
          Duration.ofSeconds(3),
          new Placement.Weights(1, 2),
          List.of(
              task("check", true, true, 0.10, 2, 4, 100, 300, 4, 5),
              task("booking", false, false, 0.10, 1, 2, 100, 300, 40, 10),
              task("stock", false, true, 0.25, 1, 2, 50, 300, 60, 10),
              task("advice", false, true, 0.55, 6, 14, 200, 1_500, 250, 30)));

  /** Copies the lists so that the record stays immutable. */
  public Deployment {
    zones = List.copyOf(zones);
    tasks = List.copyOf(tasks);
  }

  /** Returns the availability zone of the endpoint or node with an index. */
  public String zoneOf(int index) {
    return zones.get(index % zones.size());
  }

  /** Returns the one-way latency between two zones, in microseconds. */
  public long latencyMicros(String from, String to) {
    return from.equals(to) ? 0 : zoneLatency.toNanos() / 1_000;
  }

  private static Task task(
      String name,
      boolean urgent,
      boolean repeatable,
      double share,
      int minPieces,
      int maxPieces,
      int minTailTokens,
      int maxTailTokens,
      int outputTokens,
      int deadlineSeconds) {
    return new Task(
        name,
        urgent,
        repeatable,
        share,
        new Task.Range(minPieces, maxPieces),
        new Task.Range(minTailTokens, maxTailTokens),
        outputTokens,
        Duration.ofSeconds(deadlineSeconds));
  }

  /**
   * Speed and capacity of a runner.
   *
   * @param slots requests that it runs concurrently
   * @param cachePieces pieces that its prefix cache holds
   * @param prefillTokensPerSecond prompt tokens that it computes per second
   * @param chunkTokens prompt tokens of a prefill chunk; urgent requests can preempt between chunks
   * @param cacheBytesPerToken bytes of KV cache per token
   * @param linkBytesPerSecond bandwidth of its link to the stores
   * @param tokenTime time between output tokens of a single request; doubles when all slots run
   * @param queueLimit maximum number of requests that wait for a slot; further ones are refused
   */
  public record Engine(
      int slots,
      int cachePieces,
      int prefillTokensPerSecond,
      int chunkTokens,
      int cacheBytesPerToken,
      long linkBytesPerSecond,
      Duration tokenTime,
      int queueLimit) {

    /** Returns the time between output tokens while some requests run, in microseconds. */
    public long tokenMicros(int running) {
      long singleRequestMicros = tokenTime.toNanos() / 1_000;
      return singleRequestMicros + singleRequestMicros * running / slots;
    }

    /** Returns the time to compute a number of prompt tokens, in microseconds. */
    public long prefillMicros(long tokens) {
      return tokens * 1_000_000 / prefillTokensPerSecond;
    }

    /** Returns the size of a number of pieces, in bytes. */
    public long pieceBytes(int pieces) {
      return (long) pieces * TraceRequest.PIECE_TOKENS * cacheBytesPerToken;
    }
  }
}
