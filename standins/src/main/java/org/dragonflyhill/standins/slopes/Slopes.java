package org.dragonflyhill.standins.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.ConfigurationFold;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ConfigurationView;
import org.dragonflyhill.core.ObjectKey;
import org.dragonflyhill.core.PieceIndex;
import org.dragonflyhill.core.RendezvousHash;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SerializedState;

/**
 * Measures the state size and run time of the decision logic at several deployment sizes. For each
 * measurement it prints one JSON line with the points and the line fitted to them.
 *
 * <p>Not thread-safe, because heap usage is measured for the whole process.
 */
public final class Slopes {

  private static final List<Integer> SIZES = List.of(100, 400, 1_600, 3_300);
  private static final int PIECES_PER_RUNNER = 94;
  private static final int WARM_UP_ROUNDS = 300;
  private static final int ROUNDS = 300;

  private final PrintStream out;

  private Slopes(PrintStream out) {
    this.out = out;
  }

  /** Runs all measurements and prints the results. */
  public static void run(PrintStream out) {
    Slopes measurements = new Slopes(out);
    measurements.measure("configuration.fold_micros", "runners", Slopes::foldMicros);
    measurements.measure("configuration.view_micros", "runners", Slopes::viewMicros);
    measurements.measure(
        "configuration.heap_bytes", "runners", size -> heapBytes(() -> configurationState(size)));
    measurements.measure("configuration.snapshot_bytes", "runners", Slopes::snapshotBytes);
    measurements.measure(
        "piece_index.heap_bytes", "runners", size -> heapBytes(() -> pieceIndex(size)));
    measurements.measure(
        "claims.heap_bytes", "claims", size -> heapBytes(() -> claimTable(size * 10)) / 10);
    measurements.measure("claims.fold_nanos", "claims", Slopes::claimFoldNanos);
    measurements.measure("rendezvous.rank_micros", "nodes", Slopes::rankMicros);
  }

  private void measure(String name, String unit, IntFunction<Double> measurement) {
    List<LinearFit.Point> points = new ArrayList<>();
    for (int size : SIZES) {
      points.add(new LinearFit.Point(size, measurement.apply(size)));
    }
    out.println(Json.write(new ScalingResult(name, unit, points, LinearFit.of(points))));
  }

  private static double foldMicros(int size) {
    ConfigurationState state = configurationState(size);
    var object = runner(0).withState(AdministrativeState.DRAINING);
    var base = new ChangeRecord.Base(object.key(), state.offsetOf(object.key()));
    var change = new ChangeRecord("c", "a", List.of(base), List.of(object), List.of());
    return averageMicros(() -> ConfigurationFold.apply(state, state.throughOffset() + 1, change));
  }

  private static double viewMicros(int size) {
    ConfigurationState state = configurationState(size);
    return averageMicros(() -> ConfigurationView.of(state));
  }

  private static double snapshotBytes(int size) {
    return SerializedState.of(configurationState(size)).text().length();
  }

  private static double rankMicros(int size) {
    List<String> nodes = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      nodes.add("node-" + i);
    }
    return averageMicros(() -> RendezvousHash.rank("orders", nodes));
  }

  private static double claimFoldNanos(int size) {
    return averageMicros(() -> claimTable(size)) * 1_000 / size;
  }

  private static ConfigurationState configurationState(int runners) {
    List<ConfigurationObject> all = new ArrayList<>();
    all.add(new ConfigurationObject.AvailabilityZone("zone", "region"));
    all.add(new ConfigurationObject.Model("model", "v1", 8_000, 131_072));
    for (int i = 0; i < runners; i++) {
      all.add(runner(i));
    }
    var objects = new TreeMap<ObjectKey, ConfigurationState.VersionedObject>();
    for (ConfigurationObject object : all) {
      objects.put(object.key(), new ConfigurationState.VersionedObject(object, 0));
    }
    return new ConfigurationState(0, 0, objects, List.of());
  }

  private static ConfigurationObject.Runner runner(int number) {
    return new ConfigurationObject.Runner(
        "runner-" + number,
        "zone",
        "10.0.0.1:" + (10_000 + number),
        "model",
        16,
        400_000,
        1_250_000_000,
        true,
        AdministrativeState.ACTIVE);
  }

  private static PieceIndex pieceIndex(int runners) {
    PieceIndex index = new PieceIndex();
    for (int runner = 0; runner < runners; runner++) {
      for (int piece = 0; piece < PIECES_PER_RUNNER; piece++) {
        index.add("runner-" + runner, "%064x".formatted((long) runner << 32 | piece));
      }
    }
    return index;
  }

  private static ClaimTable claimTable(int count) {
    ClaimTable table = new ClaimTable();
    for (int i = 0; i < count; i++) {
      var key = new ClaimEvent.RequestKey("organisation", "order-" + i);
      String claimId = "node-1-claim-" + i;
      table.apply(2L * i, new ClaimEvent.Claimed(key, claimId, "node-1", "%064x".formatted(i), 0));
      table.apply(2L * i + 1, settledEvent(key, claimId));
    }
    return table;
  }

  private static ClaimEvent settledEvent(ClaimEvent.RequestKey key, String claimId) {
    return new ClaimEvent.Settled(
        key, claimId, 200, Optional.of("{\"status\":\"accepted\"}"), "%064x".formatted(1));
  }

  /**
   * Returns the average time of the work after a warm-up. A checksum of the results keeps the JIT
   * compiler from removing the work.
   */
  private static double averageMicros(Supplier<Object> work) {
    int checksum = 0;
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      checksum += work.get().hashCode() & 1;
    }
    long startNanos = System.nanoTime();
    for (int i = 0; i < ROUNDS; i++) {
      checksum += work.get() == null ? 1 : 0;
    }
    double micros = (System.nanoTime() - startNanos) / 1e3 / ROUNDS;
    return checksum < 0 ? -1 : micros;
  }

  /**
   * Returns the growth of the heap caused by the result of the work, which stays reachable until
   * the second measurement.
   */
  private static double heapBytes(Supplier<Object> work) {
    long before = usedHeap();
    Object retained = work.get();
    long after = usedHeap();
    return retained == null ? 0 : after - before;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Result of one measurement, printed as one JSON line.
   *
   * @param name name of the measured quantity
   * @param unit what the sizes count, such as runners or claims
   * @param points measured points
   * @param fit line fitted to the points
   */
  public record ScalingResult(
      String name, String unit, List<LinearFit.Point> points, LinearFit fit) {}
}
