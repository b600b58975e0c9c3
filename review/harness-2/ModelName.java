import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The operator has named a model in the language of the site, and names new weights for it; later
 * the machines are replaced as planned. No request may run on KV cache that was made under another
 * version.
 */
final class ModelName {

  private static final String CONFIG =
      """
      {"version":17,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[],\
      "routes":[{"name":"rada","host":"kurt.example","path_prefix":"/rada/",\
      "service":"advisor","kind":"streaming","resumable":true,"timeout_ms":8000,\
      "target_latency_ms":600,"target_gap_ms":300,"max_attempts":3,"priority":1,\
      "sticky_sessions":true,"allow_anonymous":true}],\
      "services":[{"name":"advisor","health_check_path":"/health","max_connections":360,\
      "engine":{"slots":64,"kv_cache_tokens":111612,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":4}},\
      {"name":"keep-a","kv_store_address":"%s","zone":"rancagua","managed":true,\
      "kv_cache_tokens":226355,"link_mbps":1800000,"max_in_flight":4}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private static final int REQUESTS = 24;
  private static final int TOKENS_PER_MILLI = 80;
  private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":\"?([^\",}]*)\"?");

  private final Journal journal;
  private final String model;
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger fetches = new AtomicInteger();
  private final AtomicInteger stale = new AtomicInteger();
  private KvStore cache;

  private ModelName(Journal journal, String model) {
    this.journal = journal;
    this.model = model;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("model-name");
    List<Node> nodes = new ArrayList<>();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      try {
        String model = isTroubled ? "vypletač-7b" : "vypletac-7b";
        result = new ModelName(journal, model).run(repository, folder, nodes);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        nodes.forEach(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private int run(Path repository, Path folder, List<Node> nodes)
      throws IOException, InterruptedException {
    LogStore store = new LogStore(journal, 1);
    cache = new KvStore(journal);
    List<CachingRunner> runners = List.of(new CachingRunner("i-1"), new CachingRunner("i-2"));
    Thread beats = Thread.startVirtualThread(() -> beat(store, runners));
    store.put("keyed.op", "config", CONFIG.formatted(cache.address()));
    nameVersion(store, 1);
    for (String name : List.of("front-a", "front-b")) {
      nodes.add(new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
    Thread.sleep(5_000);
    sendRequests(nodes, "old");
    Thread.sleep(2_000);
    nameVersion(store, 2);
    for (int i = 0; i < 80 && runners.stream().anyMatch(r -> r.version < 2); i++) {
      Thread.sleep(100);
    }
    journal.line("versions %d and %d", runners.get(0).version, runners.get(1).version);
    for (String name : List.of("front-c", "front-d")) {
      nodes.add(new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    List<Node> old = nodes.subList(0, 2);
    List<Node> current = nodes.subList(2, 4);
    for (Node node : current) {
      node.awaitReady(20_000);
    }
    Thread.sleep(3_000);
    old.forEach(Node::terminate);
    for (Node node : old) {
      node.awaitExit(10_000);
    }
    Thread.sleep(6_000);
    sendRequests(current, "new");
    beats.interrupt();
    journal.line("%d runs, %d fetches, %d of them stale", runs.get(), fetches.get(), stale.get());
    if (runs.get() < REQUESTS || runners.stream().anyMatch(r -> r.version < 2)) {
      return NOT_RUN;
    }
    return stale.get() > 0 ? BROKEN : HELD;
  }

  private void nameVersion(LogStore store, long version) {
    journal.line("the operator names version %d of %s", version, model);
    store.put(
        "keyed.op",
        "version/" + model,
        "{\"model\":\"%s\",\"version\":%d}".formatted(model, version));
  }

  private static void beat(LogStore store, List<CachingRunner> runners) {
    try {
      while (true) {
        runners.forEach(runner -> store.put("keyed.servers", runner.id, runner.entry()));
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private void sendRequests(List<Node> nodes, String name)
      throws IOException, InterruptedException {
    for (int i = 0; i < REQUESTS; i++) {
      String attempt = name + "-" + i;
      String head =
          "POST /rada/2f HTTP/1.1\r\nHost: kurt.example\r\nContent-Length: 0\r\n"
              + "Dragonflyhill-Request-Attempt-Id: "
              + attempt
              + "\r\nDragonflyhill-Deadline-Ms: 8000\r\nDragonflyhill-Model: "
              + model
              + "\r\nDragonflyhill-Token-Usage: 9100,5\r\nDragonflyhill-Prompt-Prefix: 5c1e07a2:9000,"
              + (name.equals("old") ? "aa" : "bb")
              + (10 + i)
              + ":100\r\n";
      Http.Message answer =
          Http.call(nodes.get(i % nodes.size()).front, head, new byte[0], 9_000);
      journal.line("%s answered %d", attempt, answer.status());
      Thread.sleep(50);
    }
  }

  /** Stand-in of a model runner that caches, fetches and saves the parts of its prompts. */
  private final class CachingRunner {

    final String id;
    volatile long version = 1;
    private final Http.Server server;
    private final Set<String> held = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private long seq;

    CachingRunner(String id) throws IOException {
      this.id = id;
      server = new Http.Server(this::handle);
    }

    private String models() {
      return "[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}]".formatted(model, version);
    }

    String entry() {
      return """
          {"service":"advisor","address":"%s","zone":"rancagua","version":"v1","slots":64,\
          "state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d,"stage":"combined",\
          "models":%s}"""
          .formatted(server.address(), seq, born, models());
    }

    private void handle(Http.Message request, Http.Connection connection)
        throws IOException, InterruptedException {
      String json = "Content-Type: application/json\r\n";
      switch (request.path()) {
        case "/report" ->
            connection.respond(
                200,
                json,
                "{\"models\":%s,\"busy\":false,\"seq\":%d,\"born\":%d}"
                    .formatted(models(), seq, born));
        case "/order" -> connection.respond(order(request.text()), json, "{}");
        case "/kv-events", "/kv-list" -> {
          Thread.sleep(700);
          connection.respond(
              200,
              json,
              "{\"restart_epoch\":%d,\"next\":0,\"lost\":false,\"events\":[],\"held\":[],"
                      .formatted(born)
                  + "\"clock_ms\":"
                  + System.currentTimeMillis()
                  + "}");
        }
        default -> generate(request, connection);
      }
    }

    private synchronized int order(String body) {
      for (Matcher m = FIELD.matcher(body); m.find(); ) {
        if (m.group(1).equals("version")) {
          long wanted = Long.parseLong(m.group(2));
          if (wanted == version) {
            return 200;
          }
          seq++;
          held.clear();
          version = wanted;
          journal.line("runner %s has version %d", id, wanted);
        }
      }
      return 202;
    }

    private void generate(Http.Message request, Http.Connection connection)
        throws IOException, InterruptedException {
      String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
      String ids = "Dragonflyhill-Request-Attempt-Id: " + attempt + "\r\n";
      byte[] named = request.header("Dragonflyhill-Model").getBytes(StandardCharsets.ISO_8859_1);
      String expected = request.header("Dragonflyhill-Expect-Version");
      boolean isOther = !request.header("Dragonflyhill-Expect-Instance").equals(id);
      if (isOther || !expected.isEmpty() && Long.parseLong(expected) != version) {
        connection.respond(421, ids + "Dragonflyhill-Not-Executed: 1\r\n", "");
        return;
      }
      if (!model.equals(new String(named, StandardCharsets.UTF_8))) {
        connection.respond(400, ids, "no such model");
        return;
      }
      runs.incrementAndGet();
      journal.line("runner %s runs %s on version %d", id, attempt, version);
      readParts(request, attempt);
      connection.respond(
          200,
          ids
              + "Content-Type: text/event-stream\r\nDragonflyhill-Weight-Versions: "
              + version
              + "\r\nDragonflyhill-Response-Signature: "
              + id
              + "."
              + attempt
              + "\r\n",
          "id: 1\ndata: x\n\n");
    }

    private void readParts(Http.Message request, String attempt) throws InterruptedException {
      String salt = request.header("Dragonflyhill-Cache-Salt");
      String[] parts = request.header("Dragonflyhill-Prompt-Prefix").split(",");
      String[] sources = request.header("Dragonflyhill-Kv-Fetch").split(",");
      String[] targets = request.header("Dragonflyhill-Kv-Save").split(",");
      for (int i = 0; i < parts.length; i++) {
        String part = parts[i].split(":")[0];
        int tokens = Integer.parseInt(parts[i].split(":")[1]);
        if (!held.contains(salt + "|" + part)) {
          boolean isFetch = i < sources.length && sources[i].startsWith(cache.address());
          Optional<KvStore.Part> found = isFetch ? cache.find(salt, part) : Optional.empty();
          if (found.isPresent()) {
            noteFetch(attempt, part, found.get());
          } else {
            Thread.sleep(tokens / TOKENS_PER_MILLI);
          }
          held.add(salt + "|" + part);
        }
        if (i < targets.length && targets[i].equals(cache.address())) {
          cache.save(salt, part, tokens, version);
        }
      }
    }

    private void noteFetch(String attempt, String part, KvStore.Part found) {
      fetches.incrementAndGet();
      if (found.version() != version) {
        stale.incrementAndGet();
        journal.line(
            "STALE is broken: %s runs on version %d with part %s, made under version %d",
            attempt, version, part, found.version());
      }
    }
  }
}
