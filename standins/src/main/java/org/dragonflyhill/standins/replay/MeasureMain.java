package org.dragonflyhill.standins.replay;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SettingSpec;
import org.dragonflyhill.ports.SettingValues;

/** Entry point of {@code scripts/measure}, which replays traces and prints a table of results. */
public final class MeasureMain {

  private static final int EXIT_USAGE = 2;
  private static final double[] LOADS = {0.5, 0.8, 1.0, 1.3};
  private static final double FAULT_LOAD = 0.8;
  private static final List<String> QUICK_FAULT_POLICIES = List.of("former", "product");
  private static final List<SettingSpec> SPECS =
      List.of(
          SettingSpec.optional("deployment", "", "riquelme or strunova; both by default"),
          SettingSpec.optional("seed", "1", "seed of the random numbers of traces and replays"),
          SettingSpec.optional("policy", "", "policy to replay; all by default"),
          SettingSpec.optional(
              "trace", "", "trace to replay instead of generated ones, as JSON lines"),
          SettingSpec.optional(
              "measure-from", "0", "second of that trace at which the measurement starts"),
          SettingSpec.optional(
              "peak-seconds", "0", "duration of the peak of that trace, in seconds"),
          SettingSpec.optional(
              "write-trace", "", "file to write the trace of 80 % load to, without a replay"),
          SettingSpec.optional(
              "out", "target/measure.jsonl", "file to write the results to, as JSON lines"),
          SettingSpec.optional("plots", "", "folder to write plots to"));

  private final Optional<String> onlyPolicy;
  private final int seed;
  private final TraceGenerator.Shape shape;
  private final List<Row> rows = new ArrayList<>();

  private MeasureMain(int seed, TraceGenerator.Shape shape, Optional<String> onlyPolicy) {
    this.onlyPolicy = onlyPolicy;
    this.seed = seed;
    this.shape = shape;
  }

  /** Runs the suite named by the first argument, {@code quick} or {@code full}. */
  public static void main(String[] args) throws IOException {
    boolean hasSuite = args.length > 0 && List.of("quick", "full").contains(args[0]);
    boolean isFull = hasSuite && args[0].equals("full");
    String[] flags = Arrays.copyOfRange(args, hasSuite ? 1 : 0, args.length);
    SettingValues values = SettingValues.read(SPECS, flags, System.getenv());
    int seed = values.integer("seed", 0, Integer.MAX_VALUE);
    List<Deployment> deployments = deployments(values);
    if (values.isHelpRequested()) {
      System.out.print(SettingValues.help("scripts/measure [quick|full]", SPECS));
      return;
    }
    if (!values.errors().isEmpty()) {
      values.errors().forEach(error -> System.err.println("measure: " + error));
      System.exit(EXIT_USAGE);
    }
    var shape = new TraceGenerator.Shape(Duration.ofSeconds(isFull ? 180 : 60), isFull ? 2 : 1);
    MeasureMain measure = new MeasureMain(seed, shape, values.optionalText("policy"));
    Optional<String> generatedTraceFile = values.optionalText("write-trace");
    if (generatedTraceFile.isPresent()) {
      measure
          .generateTrace(deployments.getFirst(), FAULT_LOAD)
          .write(Path.of(generatedTraceFile.get()));
      return;
    }
    Optional<String> recordedTraceFile = values.optionalText("trace");
    if (recordedTraceFile.isPresent()) {
      measure.replayRecorded(deployments.getFirst(), Path.of(recordedTraceFile.get()), values);
    } else {
      deployments.forEach(measure::replayGenerated);
    }
    measure.write(Path.of(values.text("out")));
    Optional<String> plots = values.optionalText("plots");
    if (plots.isPresent()) {
      Plots.write(measure.rows, Path.of(plots.get()));
    }
  }

  private static List<Deployment> deployments(SettingValues values) {
    List<Deployment> all = List.of(Deployment.RIQUELME, Deployment.STRUNOVA);
    Optional<String> name = values.optionalText("deployment");
    List<Deployment> chosen =
        all.stream()
            .filter(deployment -> name.isEmpty() || deployment.name().equals(name.get()))
            .toList();
    if (chosen.isEmpty()) {
      values.addError("deployment", "expected riquelme or strunova");
    }
    return chosen;
  }

  private List<Policy> policies(Deployment deployment) {
    return Policy.all(deployment).stream()
        .filter(policy -> onlyPolicy.isEmpty() || policy.name().equals(onlyPolicy.get()))
        .toList();
  }

  private void replayGenerated(Deployment deployment) {
    System.out.printf(
        Locale.ROOT,
        "%n%s: capacity %.1f requests/s, seed %d, peaks %d x %d s%n%s%n",
        deployment.name(),
        TraceGenerator.capacity(deployment, shape),
        seed,
        shape.peaks(),
        shape.peak().toSeconds(),
        Table.HEADER);
    for (double load : LOADS) {
      Trace trace = generateTrace(deployment, load);
      policies(deployment).forEach(policy -> replay(deployment, policy, trace, load, Fault.NONE));
    }
    Trace trace = generateTrace(deployment, FAULT_LOAD);
    for (Fault fault : Fault.values()) {
      if (fault != Fault.NONE) {
        faultPolicies(deployment)
            .forEach(policy -> replay(deployment, policy, trace, FAULT_LOAD, fault));
      }
    }
  }

  private List<Policy> faultPolicies(Deployment deployment) {
    boolean isFull = shape.peaks() > 1;
    return isFull
        ? policies(deployment)
        : policies(deployment).stream()
            .filter(policy -> QUICK_FAULT_POLICIES.contains(policy.name()))
            .toList();
  }

  private void replayRecorded(Deployment deployment, Path file, SettingValues values) {
    long from = 1_000L * values.integer("measure-from", 0, Integer.MAX_VALUE);
    Either<String, Trace> trace = Trace.read(file, from);
    if (trace.isLeft()) {
      System.err.println("measure: " + trace.getLeft());
      System.exit(EXIT_USAGE);
    }
    int peak = values.integer("peak-seconds", 0, Integer.MAX_VALUE);
    List<TraceRequest> requests = trace.get().requests();
    long last = requests.isEmpty() ? 0 : requests.getLast().arrivalMillis();
    Duration length = peak > 0 ? Duration.ofSeconds(peak) : Duration.ofMillis(last - from + 1);
    var recorded = new MeasureMain(seed, new TraceGenerator.Shape(length, 1), onlyPolicy);
    System.out.println(Table.HEADER);
    policies(deployment)
        .forEach(policy -> recorded.replay(deployment, policy, trace.get(), 0, Fault.NONE));
    rows.addAll(recorded.rows);
  }

  private Trace generateTrace(Deployment deployment, double load) {
    return new TraceGenerator(deployment, shape, new Random(seed)).generate(load);
  }

  private void replay(Deployment deployment, Policy policy, Trace trace, double load, Fault fault) {
    var scenario = new Row.Scenario(deployment.name(), policy.name(), load, fault.label());
    Row row = new Replay(deployment, policy, trace, shape, fault, new Random(seed)).run(scenario);
    System.out.println(Table.line(row));
    rows.add(row);
  }

  private void write(Path file) throws IOException {
    if (file.getParent() != null) {
      Files.createDirectories(file.getParent());
    }
    Files.write(file, rows.stream().map(Json::write).toList());
  }
}
