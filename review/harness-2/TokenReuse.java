import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The platform's store comes back from a copy. Later both machines are replaced in a planned way,
 * and a new version of the weights is named. No two holders may give a runner orders with one
 * generation number, nor one a lower number than another before.
 */
final class TokenReuse {

  private static final String CONFIG =
      """
      {"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[],\
      "routes":[{"name":"consulta","host":"granja.example","path_prefix":"/consulta/",\
      "service":"modelos","kind":"streaming","resumable":true,"timeout_ms":10000,\
      "target_latency_ms":300,"target_gap_ms":300,"max_attempts":2,"priority":1,\
      "sticky_sessions":true,"allow_anonymous":true}],\
      "services":[{"name":"modelos","health_check_path":"/health","max_connections":360,\
      "engine":{"slots":16,"kv_cache_tokens":113358,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":4}}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private TokenReuse() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("token-reuse");
    Map<String, Node> nodes = new HashMap<>();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      journal.line(isTroubled ? "with the disruption" : "without the disruption");
      try {
        result = run(journal, repository, folder, nodes, isTroubled);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        nodes.values().forEach(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private static int run(
      Journal journal,
      Path repository,
      Path folder,
      Map<String, Node> nodes,
      boolean isTroubled)
      throws IOException, InterruptedException {
    LogStore store = new LogStore(journal, 0);
    List<LlmRunner> runners =
        List.of(
            new LlmRunner(journal, "i-1"),
            new LlmRunner(journal, "i-2"),
            new LlmRunner(journal, "i-3"));
    Thread beats = Thread.startVirtualThread(() -> beat(store, runners));
    writeOperator(store, 1);
    for (String name : List.of("front-a", "front-b")) {
      nodes.put(name, new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    for (Node node : nodes.values()) {
      node.awaitReady(20_000);
    }
    Thread.sleep(4_000);
    Map<String, List<byte[]>> copy = store.copy();
    journal.line("the store's copy is made");
    nameVersion(journal, store, runners, 2);
    Thread.sleep(2_000);
    if (isTroubled) {
      journal.line("the store is away for 1 s and comes back from the copy");
      store.comeBackFrom(copy, 1_000);
      writeOperator(store, 2);
    }
    Thread.sleep(5_000);
    for (String name : List.of("front-c", "front-d")) {
      nodes.put(name, new Node(journal, repository, folder, name, "rancagua", store.address()));
      nodes.get(name).awaitReady(20_000);
    }
    Thread.sleep(3_000);
    for (String name : List.of("front-a", "front-b")) {
      nodes.get(name).terminate();
    }
    for (String name : List.of("front-a", "front-b")) {
      nodes.get(name).awaitExit(10_000);
    }
    Thread.sleep(5_000);
    nameVersion(journal, store, runners, 3);
    Thread.sleep(1_000);
    beats.interrupt();
    return judge(journal, runners);
  }

  private static void beat(LogStore store, List<LlmRunner> runners) {
    try {
      while (true) {
        runners.forEach(r -> store.put("keyed.servers", r.id, r.entry("modelos", "rancagua")));
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private static void writeOperator(LogStore store, long weights) {
    store.put("keyed.op", "config", CONFIG.formatted(17));
    store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":" + weights + "}");
  }

  private static void nameVersion(
      Journal journal, LogStore store, List<LlmRunner> runners, long version)
      throws InterruptedException {
    journal.line("the operator names version %d", version);
    store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":" + version + "}");
    for (int i = 0; i < 90; i++) {
      if (runners.stream().allMatch(runner -> runner.version() >= version)) {
        journal.line("all runners have version %d", version);
        return;
      }
      Thread.sleep(100);
    }
    journal.line("not all runners have version %d after 9 s", version);
  }

  private static int judge(Journal journal, List<LlmRunner> runners) {
    int result = HELD;
    for (LlmRunner runner : runners) {
      Map<Long, Set<String>> holdersByToken = new HashMap<>();
      for (LlmRunner.Order order : runner.orders) {
        holdersByToken.computeIfAbsent(order.token(), any -> new HashSet<>()).add(order.holder());
      }
      for (Map.Entry<Long, Set<String>> token : holdersByToken.entrySet()) {
        if (token.getValue().size() > 1) {
          journal.line(
              "ONE is broken: runner %s got orders with token %d from %s",
              runner.id, token.getKey(), token.getValue());
          result = BROKEN;
        }
      }
      if (runner.orders.isEmpty()) {
        journal.line("runner %s got no order", runner.id);
        return NOT_RUN;
      }
    }
    return result;
  }
}
