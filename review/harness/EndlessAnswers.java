import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Half of the model runners answer the reads of their cache events with bytes without end, while
 * callers send short requests to another service, whose runners are sound.
 */
public final class EndlessAnswers {

  private static final int CLIENTS_PER_NODE = 10;
  private static final long PAUSE_MILLIS = 100;
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int SLACK_MILLIS = 500;
  private static final long TROUBLE_MILLIS = 5_500;
  private static final int PIECE_BYTES = 65_536;

  /** With 64 KiB every 3 ms, four connections take two thirds of a link of 1,000 Mbit/s. */
  private static final long PIECE_MILLIS = 3;

  private static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"u","host":"a.example","path_prefix":"/u/","kind":"unsafe",\
      "timeout_ms":1000,"target_latency_ms":193,"priority":2,"service":"app","max_attempts":2},\
      {"name":"r","host":"a.example","path_prefix":"/r/","kind":"streaming",\
      "timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"modelos","max_attempts":2}],\
      "services":[{"name":"app","health_check_path":"/health","max_connections":96},\
      {"name":"modelos","health_check_path":"/health",\
      "max_connections":360,"engine":{"slots":64,"kv_cache_tokens":113358,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":12,"models":[{"name":"m"}]}}],\
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
      "idle_timeout_ms":15000},"tenants":[{"name":"granja","api_keys":["key-1"]}]}""";

  /** A model runner that gets no requests here; its events are read by the nodes. */
  private static final class Events {
    private final String id;
    private final int port;
    private final String zone;
    private final long born = System.currentTimeMillis();
    private final AtomicLong endlessAnswers = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private volatile boolean endless;

    Events(String id, String zone) throws IOException {
      this.id = id;
      this.zone = zone;
      port = Node.freePort("127.0.0.1");
      new MiniHttp("127.0.0.1", port, this::handle).start();
    }

    String entry() {
      return """
          {"service":"modelos","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":64,\
          "state":"ready","cold_remaining_ms":0,"stage":"combined",\
          "models":[{"name":"m","version":1,"adapters":[]}],"seq":0,"born":%d}"""
          .formatted(port, zone, born);
    }

    private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
      if (endless) {
        endlessAnswers.incrementAndGet();
        exchange.close = true;
        exchange.raw(
            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece =
            (Integer.toHexString(PIECE_BYTES) + "\r\n" + "?".repeat(PIECE_BYTES) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
          exchange.raw(piece);
          bytes.addAndGet(PIECE_BYTES);
          Thread.sleep(PIECE_MILLIS);
        }
      }
      boolean isPoll = request.path().equals("/kv-events");
      if (isPoll) {
        Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
      }
      String body =
          "{\"restart_epoch\":7,\"next\":0,\"clock_ms\":"
              + System.currentTimeMillis()
              + (isPoll ? ",\"lost\":false,\"events\":[]}" : ",\"held\":[]}");
      exchange.reply(
          200,
          Map.of("Content-Type", "application/json"),
          body.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** A request: how long its answer took, and the answer. */
  record Sent(String id, String node, long at, long afterMillis, int status) {}

  public static void main(String[] arguments) throws Exception {
    Fleet fleet = new Fleet();
    Journal journal = fleet.journal;
    fleet.store.put("keyed.op", "config", CONFIG);
    fleet.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
    List<PlainRunner> sound = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      PlainRunner runner = new PlainRunner("a-" + i, "127.0.0.1", "app", 43, journal);
      runner.start();
      sound.add(runner);
      fleet.list(runner.id, runner::entry);
    }
    String[] zones = {"melipilla", "rancagua", "melipilla", "san-fernando"};
    List<Events> runners = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Events runner = new Events("i-" + i, zones[i % zones.length]);
      runners.add(runner);
      fleet.list(runner.id, runner::entry);
    }
    fleet.startNodes(4);
    Fleet.sleep(6_000);

    ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    List<Future<List<Sent>>> results = new ArrayList<>();
    long until = journal.millis() + 2_000 + TROUBLE_MILLIS + 1_000;
    for (int i = 0; i < CLIENTS_PER_NODE * fleet.nodes.size(); i++) {
      int number = i;
      Node node = fleet.nodes.get(i % fleet.nodes.size());
      results.add(threads.submit(() -> client(node, journal, number, until)));
    }
    Fleet.sleep(2_000);
    if (fleet.trouble) {
      for (Events runner : runners) {
        runner.endless = runner.zone.equals("melipilla");
      }
      journal.say("the four model runners of melipilla answer without end");
    }
    Fleet.sleep(TROUBLE_MILLIS);
    runners.forEach(runner -> runner.endless = false);
    journal.say("all model runners are sound");
    List<Sent> all = new ArrayList<>();
    for (Future<List<Sent>> result : results) {
      all.addAll(result.get());
    }
    Map<String, Integer> outcomes = new TreeMap<>();
    int unanswered = 0;
    int late = 0;
    for (Sent sent : all) {
      boolean hasRun = sound.stream().anyMatch(r -> r.answered.containsKey(sent.id()));
      String outcome =
          (sent.status() > 0 ? "status " + sent.status() : "no answer")
              + (hasRun ? ", run and answered by its runner" : "");
      outcomes.merge(outcome, 1, Integer::sum);
      if (sent.afterMillis() > TIMEOUT_MILLIS) {
        unanswered++;
        late += sent.afterMillis() > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
      }
      journal.note(
          "%s: sent to %s at %d ms, after %d ms %s%s",
          sent.id(),
          sent.node(),
          sent.at(),
          sent.afterMillis(),
          outcome,
          sent.afterMillis() > TIMEOUT_MILLIS ? ", beyond its timeout" : "");
    }
    for (Events runner : runners) {
      journal.say(
          "%s: %d answers without end, %d MB in all",
          runner.id, runner.endlessAnswers.get(), runner.bytes.get() >> 20);
    }
    outcomes.forEach((outcome, count) -> journal.say("%5d  %s", count, outcome));
    for (Node node : fleet.nodes) {
      long errors = node.text().lines().filter(line -> line.contains("OutOfMemory")).count();
      journal.say(
          "%s: alive %b, %d lines of its log name an OutOfMemoryError",
          node.name, node.isAlive(), errors);
    }
    fleet.end(
        unanswered >= 8 && late * 2 > unanswered,
        unanswered + " requests unanswered at their timeout, " + late + " of them half a second later");
  }

  private static List<Sent> client(Node node, Journal journal, int number, long until) {
    List<Sent> sent = new ArrayList<>();
    KeptClient client = new KeptClient(node);
    for (int i = 0; journal.millis() < until; i++) {
      String id = "s" + number + "-" + i;
      String head =
          "POST /u/x HTTP/1.1\r\nHost: a.example\r\nDragonflyhill-Request-Attempt-Id: "
              + id
              + "\r\nDragonflyhill-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
              + "Content-Length: 600\r\n\r\n";
      long start = journal.millis();
      KeptClient.Answer answer = client.send(head, new byte[600], 5_000);
      sent.add(new Sent(id, node.name, start, journal.millis() - start, answer.status()));
      Fleet.sleep(PAUSE_MILLIS);
    }
    client.close();
    return sent;
  }
}
