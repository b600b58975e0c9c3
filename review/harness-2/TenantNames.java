import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator's config names isolated tenants in the language of the site. A runner must get the
 * name of the tenant that holds the key, and no tenant may use what another's request has cached.
 */
final class TenantNames {

  private static final String CONFIG =
      """
      {"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},\
      "tenants":[{"name":"%s","api_keys":["key-one"],"isolated":true},\
      {"name":"%s","api_keys":["key-two"],"isolated":true}],\
      "routes":[{"name":"rada","host":"kurt.example","path_prefix":"/rada/",\
      "service":"advisor","kind":"streaming","resumable":true,"timeout_ms":5000,\
      "target_latency_ms":300,"target_gap_ms":300,"max_attempts":2,"priority":1,\
      "sticky_sessions":true}],\
      "services":[{"name":"advisor","health_check_path":"/health","max_connections":360,\
      "engine":{"slots":64,"kv_cache_tokens":111612,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":4}}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private static final int REQUESTS = 20;

  private final Journal journal;
  private final Map<String, String> tenantByAttempt = new ConcurrentHashMap<>();
  private final Map<String, String> firstTenantByPart = new ConcurrentHashMap<>();
  private int wrongNames;
  private int foreignParts;
  private int runs;

  private TenantNames(Journal journal) {
    this.journal = journal;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("tenant-names");
    Optional<Node> node = Optional.empty();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      try {
        LogStore store = new LogStore(journal, 1);
        node = Optional.of(new Node(journal, repository, folder, "front-a", "z", store.address()));
        result = new TenantNames(journal).run(store, node.get(), isTroubled);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        node.ifPresent(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private int run(LogStore store, Node node, boolean isTroubled)
      throws IOException, InterruptedException {
    List<String> plain = List.of("Klub Sala", "Klub Cala");
    List<String> names = isTroubled ? List.of("Klub Šaľa", "Klub Čaľa") : plain;
    Http.Server runner = new Http.Server(this::handle);
    store.put("keyed.op", "config", CONFIG.formatted(17, plain.get(0), plain.get(1)));
    store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    store.put("keyed.servers", "i-1", entry(runner.address()));
    node.awaitReady(20_000);
    Thread.sleep(1_000);
    journal.line("the config changes: tenants %s", names);
    store.put("keyed.op", "config", CONFIG.formatted(18, names.get(0), names.get(1)));
    Thread.sleep(3_000);
    for (int i = 0; i < REQUESTS; i++) {
      String attempt = "r" + i;
      tenantByAttempt.put(attempt, names.get(i % 2));
      String head =
          "POST /rada/2f HTTP/1.1\r\nHost: kurt.example\r\nContent-Length: 0\r\n"
              + "Authorization: Bearer "
              + (i % 2 == 0 ? "key-one" : "key-two")
              + "\r\nDragonflyhill-Request-Attempt-Id: "
              + attempt
              + "\r\nDragonflyhill-Deadline-Ms: 5000\r\nDragonflyhill-Model: m0\r\n"
              + "Dragonflyhill-Token-Usage: 900,5\r\n"
              + "Dragonflyhill-Prompt-Prefix: 5c1e07a2:800,9000"
              + (10 + i)
              + ":100\r\n";
      Http.Message answer = Http.call(node.front, head, new byte[0], 5_000);
      journal.line("%s of %s answered %d", attempt, names.get(i % 2), answer.status());
    }
    journal.line(
        "%d runs, %d under another name, %d with another tenant's part",
        runs, wrongNames, foreignParts);
    if (runs < REQUESTS) {
      return NOT_RUN;
    }
    return wrongNames + foreignParts > 0 ? BROKEN : HELD;
  }

  private static String entry(String address) {
    return """
        {"service":"advisor","address":"%s","zone":"z","version":"v1","slots":64,\
        "state":"ready","cold_remaining_ms":0,"seq":1,"born":%d,"stage":"combined",\
        "models":[{"name":"m0","version":1,"adapters":[]}]}"""
        .formatted(address, System.currentTimeMillis());
  }

  /** Stand-in of a runner that caches the shared part of each prompt under its salt. */
  private synchronized void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    if (request.path().startsWith("/kv-")) {
      wait(500);
      connection.respond(
          200,
          "",
          "{\"restart_epoch\":1,\"next\":0,\"lost\":false,\"events\":[],\"held\":[],\"clock_ms\":1}");
      return;
    }
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    String tenant = tenantByAttempt.getOrDefault(attempt, "");
    byte[] named = request.header("Dragonflyhill-Tenant").getBytes(StandardCharsets.ISO_8859_1);
    runs++;
    if (!isName(tenant, named)) {
      wrongNames++;
      journal.line(
          "UNASKED is broken: %s of %s runs for tenant %s",
          attempt, tenant, new String(named, StandardCharsets.ISO_8859_1));
    }
    String part = request.header("Dragonflyhill-Cache-Salt") + "|5c1e07a2";
    String maker = firstTenantByPart.computeIfAbsent(part, any -> tenant);
    if (!maker.equals(tenant)) {
      foreignParts++;
      journal.line("WALL is broken: %s of %s uses what %s cached", attempt, tenant, maker);
    }
    connection.respond(
        200,
        "Content-Type: text/event-stream\r\nDragonflyhill-Weight-Versions: 1\r\n"
            + "Dragonflyhill-Response-Signature: i-1."
            + attempt
            + "\r\nDragonflyhill-Request-Attempt-Id: "
            + attempt
            + "\r\n",
        "id: 1\ndata: x\n\n");
  }

  /** Returns whether bytes are a name in UTF-8, in ISO 8859-1 or percent-encoded. */
  private static boolean isName(String name, byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    return name.equals(new String(bytes, StandardCharsets.UTF_8))
        || name.equals(text)
        || name.equals(URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8));
  }
}
