package org.dragonflyhill.standins;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SettingSpec;
import org.dragonflyhill.ports.SettingValues;
import org.dragonflyhill.standins.demo.Demo;
import org.dragonflyhill.standins.slopes.Slopes;

/** Entry point of {@code dragonflyhill-standin}, with a subcommand for each kind of stand-in. */
public final class Main {

  private static final int EXIT_USAGE = 2;
  private static final int MAX_PORT = 65_535;
  private static final List<String> KINDS =
      List.of("runner", "service", "store", "log", "host-list", "weight-store");
  private static final List<SettingSpec> SPECS =
      List.of(
          SettingSpec.optional("host", "127.0.0.1", "IP address to listen on"),
          SettingSpec.optional("port", "0", "port of the stand-in, 0 for any free port"),
          SettingSpec.optional(
              "admin-port", "0", "admin port for fault injection and records, 0 for any free port"),
          SettingSpec.optional(
              "slots", "8", "maximum number of concurrent completions of a runner"),
          SettingSpec.optional(
              "cache-tokens", "64000", "capacity of a runner's prefix cache, in tokens"),
          SettingSpec.optional(
              "prefill-tokens-per-second",
              "20000",
              "prompt tokens that a runner prefills per second"),
          SettingSpec.optional("capacity-bytes", "1000000000", "capacity of a store, in bytes"),
          SettingSpec.optional("token-micros", "2000", "time per generated token, in microseconds"),
          SettingSpec.optional("weight-store", "", "host:port from which a runner loads weights"));

  private Main() {}

  /** Starts the stand-in named by the first argument and runs until the process is stopped. */
  public static void main(String[] args) throws InterruptedException {
    if (args.length > 0 && args[0].equals("demo")) {
      String[] flags = Arrays.copyOfRange(args, 1, args.length);
      System.exit(Demo.run(flags, System.getenv(), System.out) ? 0 : 1);
    }
    if (args.length > 0 && args[0].equals("slopes")) {
      Slopes.run(System.out);
      return;
    }
    if (args.length == 0 || !KINDS.contains(args[0])) {
      System.err.println("usage: dragonflyhill-standin " + String.join("|", KINDS) + " [flags]");
      System.err.print(SettingValues.help("dragonflyhill-standin KIND", SPECS));
      System.exit(EXIT_USAGE);
    }
    String[] flags = Arrays.copyOfRange(args, 1, args.length);
    SettingValues values = SettingValues.read(SPECS, flags, System.getenv());
    Standins standins = new Standins(values.text("host"), InstantSource.system());
    int port = values.integer("port", 0, MAX_PORT);
    int adminPort = values.integer("admin-port", 0, MAX_PORT);
    RunnerStandin.Engine engine = engine(values);
    int capacityBytes = values.integer("capacity-bytes", 1, Integer.MAX_VALUE);
    if (!values.errors().isEmpty()) {
      values.errors().forEach(error -> System.err.println("dragonflyhill-standin: " + error));
      System.exit(EXIT_USAGE);
    }
    StandinServer server =
        switch (args[0]) {
          case "runner" -> standins.runner(port, adminPort, engine);
          case "service" -> standins.service(port, adminPort);
          case "store" -> standins.store(port, adminPort, capacityBytes);
          case "log" -> standins.log(port, adminPort);
          case "weight-store" -> standins.weightStore(port, adminPort);
          default -> standins.hostList(port, adminPort);
        };
    System.out.println(Json.write(new ListeningPorts(server.port(), server.adminPort())));
    new CountDownLatch(1).await();
  }

  private static RunnerStandin.Engine engine(SettingValues values) {
    return new RunnerStandin.Engine(
        values.integer("slots", 1, 10_000),
        values.integer("cache-tokens", 1, Integer.MAX_VALUE),
        values.integer("prefill-tokens-per-second", 1, Integer.MAX_VALUE),
        Duration.ofNanos(1_000L * values.integer("token-micros", 1, Integer.MAX_VALUE)),
        values.optionalText("weight-store"));
  }

  /**
   * Ports that the program prints as one JSON line once both accept connections.
   *
   * @param port port of the stand-in
   * @param adminPort admin port of the stand-in
   */
  private record ListeningPorts(int port, int adminPort) {}
}
