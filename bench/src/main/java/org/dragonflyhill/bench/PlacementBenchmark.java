package org.dragonflyhill.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.dragonflyhill.core.CandidateSelection;
import org.dragonflyhill.core.LoadEstimate;
import org.dragonflyhill.core.PieceIndex;
import org.dragonflyhill.core.Placement;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the placement of one request: selecting candidates, looking up their cached pieces and
 * load, and choosing one.
 *
 * <p>{@code all} considers every known runner, {@code selected} only those that {@link
 * CandidateSelection} returns.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {

  private static final int PIECE_TOKENS = 2_000;
  private static final int PIECES_HELD = 300;
  private static final int PROMPTS = 1_024;
  private static final int PREFERRED = 8;
  private static final int SAMPLED = 8;
  private static final Duration SLOT_TIME = Duration.ofSeconds(4);
  private static final Duration LATENCY = Duration.ofMillis(1);
  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Placement PLACEMENT = new Placement(new Placement.Weights(1, 2));

  /** Number of runners that the node knows. */
  @Param({"10", "100", "1000", "3300"})
  int runners;

  /** Number of full pieces in each prompt. */
  @Param({"10", "60"})
  int pieces;

  private final Random random = new Random(1);
  private final PieceIndex index = new PieceIndex();
  private final Map<String, LoadEstimate> loads = new HashMap<>();
  private final List<List<String>> prompts = new ArrayList<>();
  private List<String> names;
  private CandidateSelection selection;
  private int lastPrompt;

  /** Fills the piece index and sets the load of each runner. */
  @Setup
  public void setUp() {
    names = IntStream.range(0, runners).mapToObj(number -> "runner-" + number).toList();
    selection = new CandidateSelection(names, PREFERRED, SAMPLED);
    for (int prompt = 0; prompt < PROMPTS; prompt++) {
      int number = prompt;
      prompts.add(
          IntStream.range(0, pieces).mapToObj(piece -> "piece-" + number + "-" + piece).toList());
    }
    for (String name : names) {
      var load = new LoadEstimate(new LoadEstimate.Capacity(48, 6, 10_000, 320));
      load.update(new LoadEstimate.Report(40, 0, random.nextInt(20_000), NOW.minusMillis(300)));
      load.recordSent(1_500, false, NOW.minusMillis(100));
      loads.put(name, load);
      for (int held = 0; held < PIECES_HELD / pieces; held++) {
        prompts.get(random.nextInt(PROMPTS)).forEach(piece -> index.add(name, piece));
      }
    }
  }

  /** Places a request among all runners. */
  @Benchmark
  public Optional<Placement.Choice> all() {
    return place(nextPrompt(), names);
  }

  /** Places a request among the selected runners. */
  @Benchmark
  public Optional<Placement.Choice> selected() {
    List<String> prompt = nextPrompt();
    return place(prompt, selection.select(prompt.getFirst(), random));
  }

  private List<String> nextPrompt() {
    lastPrompt = (lastPrompt + 1) % PROMPTS;
    return prompts.get(lastPrompt);
  }

  private Optional<Placement.Choice> place(List<String> prompt, List<String> considered) {
    List<Placement.Candidate> candidates = new ArrayList<>(considered.size());
    for (String name : considered) {
      candidates.add(candidate(prompt, name));
    }
    var request = new Placement.Request((long) prompt.size() * PIECE_TOKENS, 10_000, 32_768);
    return PLACEMENT.choose(request, candidates);
  }

  private Placement.Candidate candidate(List<String> prompt, String name) {
    int cached = 0;
    while (cached < prompt.size() && index.holds(name, prompt.get(cached))) {
      cached++;
    }
    return new Placement.Candidate(
        name,
        loads.get(name).queueWait(false, SLOT_TIME, NOW),
        LATENCY,
        (long) cached * PIECE_TOKENS,
        (long) (prompt.size() - cached) * PIECE_TOKENS,
        3_125_000_000L);
  }
}
