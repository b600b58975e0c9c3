import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * In a quiet time a runner crashes and starts again under its id, with another version of its
 * software. As it is back, callers return; a second later it falls silent for a moment. No stream
 * may hold events from runners of two software versions.
 */
final class QuietRestart {

  private static final String CONFIG =
      """
      {"version":17,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[],\
      "routes":[{"name":"consulta","host":"granja.example","path_prefix":"/consulta/",\
      "service":"modelos","kind":"streaming","resumable":true,"timeout_ms":10000,\
      "target_latency_ms":300,"target_gap_ms":300,"max_attempts":3,"priority":1,\
      "sticky_sessions":true,"allow_anonymous":true}],\
      "services":[{"name":"modelos","health_check_path":"/health","max_connections":360,\
      "engine":{"slots":64,"kv_cache_tokens":113358,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":4}}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private static final int STREAMS = 24;
  private static final int EVENTS = 60;
  private static final int EVENT_MILLIS = 50;
  private static final int DOWN_MILLIS = 2_000;
  private static final int SILENT_MILLIS = 1_400;

  /** Time after the other runners' heartbeats at which the runner is back. */
  private static final int AFTER_BEAT_MILLIS = 30;

  /** Streams of two versions that the rule allows. */
  private static final int ALLOWED = 2;

  private final Journal journal;
  private final Map<String, Set<String>> versions = new ConcurrentHashMap<>();
  private final Map<String, Integer> lastEvents = new ConcurrentHashMap<>();
  private final java.util.concurrent.Semaphore beats = new java.util.concurrent.Semaphore(0);

  private QuietRestart(Journal journal) {
    this.journal = journal;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("quiet-restart");
    List<Node> nodes = new ArrayList<>();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      journal.line(isTroubled ? "with the disruption" : "without the disruption");
      try {
        result = new QuietRestart(journal).run(repository, folder, nodes, isTroubled);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        nodes.forEach(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private int run(Path repository, Path folder, List<Node> nodes, boolean isTroubled)
      throws IOException, InterruptedException {
    LogStore store = new LogStore(journal, 1);
    List<VersionedRunner> runners = new ArrayList<>();
    for (String id : List.of("i-1", "i-2", "i-3")) {
      runners.add(new VersionedRunner(id));
    }
    Thread beating = Thread.startVirtualThread(() -> beat(store, runners));
    store.put("keyed.op", "config", CONFIG);
    store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
    for (String name : List.of("front-a", "front-b")) {
      nodes.add(new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
    Thread.sleep(4_000);
    sendStreams(nodes, "early", 6);
    Thread.sleep(5_000);
    VersionedRunner restarted = runners.get(0);
    if (isTroubled) {
      restarted.stop();
    }
    Thread.sleep(DOWN_MILLIS);
    beats.drainPermits();
    beats.acquire();
    Thread.sleep(AFTER_BEAT_MILLIS);
    if (isTroubled) {
      restarted.startAgain("v2");
      store.put("keyed.servers", restarted.id, restarted.entry());
    }
    Thread.sleep(20);
    List<Thread> streams = sendStreams(nodes, "late", STREAMS);
    Thread.sleep(700);
    restarted.fallSilent();
    for (Thread stream : streams) {
      stream.join();
    }
    beating.interrupt();
    return judge();
  }

  private void beat(LogStore store, List<VersionedRunner> runners) {
    try {
      while (true) {
        for (VersionedRunner runner : runners) {
          if (!runner.isDown) {
            store.put("keyed.servers", runner.id, runner.entry());
          }
        }
        beats.release();
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private List<Thread> sendStreams(List<Node> nodes, String name, int count)
      throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Node node = nodes.get(i % nodes.size());
      String attempt = name + "-" + i;
      threads.add(Thread.startVirtualThread(() -> receive(node, attempt)));
      Thread.sleep(10);
    }
    return threads;
  }

  /** Sends the request of one stream and notes the versions that its events name. */
  private void receive(Node node, String attempt) {
    String head =
        "POST /consulta/2f HTTP/1.1\r\nHost: granja.example\r\nContent-Length: 0\r\n"
            + "Dragonflyhill-Request-Attempt-Id: "
            + attempt
            + "\r\nDragonflyhill-Deadline-Ms: 10000\r\nDragonflyhill-Model: m0\r\n"
            + "Dragonflyhill-Token-Usage: 180,60\r\nDragonflyhill-Prompt-Prefix: "
            + Integer.toHexString(attempt.hashCode())
            + ":180\r\n\r\n";
    Set<String> seen = new LinkedHashSet<>();
    String end = "complete";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = Http.line(in);
      if (line == null || !line.contains(" 200 ")) {
        end = "answered " + line;
      } else {
        for (line = Http.line(in); line != null && !line.equals("0"); line = Http.line(in)) {
          if (line.startsWith("id: ")) {
            lastEvents.put(attempt, Integer.parseInt(line.substring(4)));
          } else if (line.startsWith("data: ")) {
            seen.add(line.substring(6));
          }
        }
        end = line == null ? "broken off" : end;
      }
    } catch (IOException e) {
      end = e.toString();
    }
    versions.put(attempt, seen);
    journal.line(
        "%s at %s: %s after event %d, events from %s",
        attempt, node.name, end, lastEvents.getOrDefault(attempt, 0), seen);
  }

  private int judge() {
    int mixed = 0;
    int complete = 0;
    for (String attempt : versions.keySet()) {
      if (versions.get(attempt).size() > 1) {
        mixed++;
        journal.line("%s holds events from runners of %s", attempt, versions.get(attempt));
      }
      complete += lastEvents.getOrDefault(attempt, 0) == EVENTS ? 1 : 0;
    }
    journal.line("%d streams, %d complete, %d of two versions", versions.size(), complete, mixed);
    if (complete < STREAMS / 2) {
      return NOT_RUN;
    }
    if (mixed > ALLOWED) {
      journal.line("ORDER is broken");
      return BROKEN;
    }
    return HELD;
  }

  /** Stand-in of a model runner whose events name the version of its software. */
  private final class VersionedRunner {

    final String id;
    private final Http.Server server;
    private volatile boolean isDown;
    private volatile String version = "v1";
    private volatile long born = System.currentTimeMillis();
    private volatile long silentUntil;
    private long seq;

    VersionedRunner(String id) throws IOException {
      this.id = id;
      server = new Http.Server(this::handle);
    }

    void stop() throws IOException {
      isDown = true;
      server.stop();
      journal.line("runner %s crashes", id);
    }

    void startAgain(String newVersion) throws IOException {
      version = newVersion;
      born = System.currentTimeMillis();
      seq = 0;
      server.start();
      isDown = false;
      journal.line("runner %s is back, its software is %s", id, newVersion);
    }

    void fallSilent() {
      silentUntil = System.nanoTime() + SILENT_MILLIS * 1_000_000L;
      journal.line("runner %s falls silent for %d ms", id, SILENT_MILLIS);
    }

    synchronized String entry() {
      return """
          {"service":"modelos","address":"%s","zone":"rancagua","version":"%s","slots":64,\
          "state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d,"stage":"combined",\
          "models":[{"name":"m0","version":1,"adapters":[]}]}"""
          .formatted(server.address(), version, seq++, born);
    }

    private void handle(Http.Message request, Http.Connection connection)
        throws IOException, InterruptedException {
      switch (request.path()) {
        case "/kv-events" -> {
          Thread.sleep(800);
          connection.respond(200, "", events());
        }
        case "/kv-list" -> connection.respond(200, "", events());
        case "/report" ->
            connection.respond(
                200,
                "",
                "{\"models\":[{\"name\":\"m0\",\"version\":1}],\"busy\":false,\"seq\":0,\"born\":%d}"
                    .formatted(born));
        default -> stream(request, connection);
      }
    }

    private String events() {
      return "{\"restart_epoch\":%d,\"next\":0,\"lost\":false,\"events\":[],\"held\":[],\"clock_ms\":%d}"
          .formatted(born, System.currentTimeMillis());
    }

    private void stream(Http.Message request, Http.Connection connection)
        throws IOException, InterruptedException {
      String own = version;
      String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
      String ids = "Dragonflyhill-Request-Attempt-Id: " + attempt + "\r\n";
      if (!request.header("Dragonflyhill-Expect-Instance").equals(id)) {
        connection.respond(421, ids + "Dragonflyhill-Not-Executed: 1\r\n", "");
        return;
      }
      String from = request.header("Last-Event-Id");
      journal.line("runner %s, %s, runs %s from event %s", id, own, attempt, from);
      connection.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
              + ids
              + "Dragonflyhill-Response-Signature: "
              + id
              + "."
              + attempt
              + "\r\nDragonflyhill-Weight-Versions: 1\r\n\r\n");
      for (int i = from.isEmpty() ? 1 : Integer.parseInt(from) + 1; i <= EVENTS; i++) {
        Thread.sleep(EVENT_MILLIS);
        long silent = silentUntil - System.nanoTime();
        if (silent > 0) {
          Thread.sleep(silent / 1_000_000 + 1);
        }
        connection.chunk("id: " + i + "\ndata: " + own + "\n\n");
      }
      connection.write("0\r\n\r\n");
    }
  }
}
