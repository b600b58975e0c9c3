import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections to the platform's store go silent for good, while new ones work. Right
 * after, a runner that never reports draining leaves. No machine in touch may send it a request
 * later than drain_ms after its entry was removed.
 */
final class LeavingRunner {

  private static final String CONFIG =
      """
      {"version":17,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[],\
      "routes":[{"name":"despacho","host":"granja.example","path_prefix":"/despacho/",\
      "service":"app","kind":"unsafe","timeout_ms":1000,"target_latency_ms":193,\
      "max_attempts":2,"priority":2,"allow_anonymous":true}],\
      "services":[{"name":"app","health_check_path":"/health","max_connections":96}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private static final double STABILITY_WINDOW_S = 3.0;
  private static final double DRAIN_S = 2.0;

  /** Time for which the runner goes on after its entry was removed: drain_ms and a little longer. */
  private static final long SERVING_MILLIS = 3_000;

  private static final int MIN_ANSWERED = 300;

  private LeavingRunner() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("leaving-runner");
    List<Node> nodes = new ArrayList<>();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      journal.line(isTroubled ? "with the disruption" : "without the disruption");
      try {
        result = run(journal, repository, folder, nodes, isTroubled);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        nodes.forEach(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private static int run(
      Journal journal, Path repository, Path folder, List<Node> nodes, boolean isTroubled)
      throws IOException, InterruptedException {
    LogStore store = new LogStore(journal, 1);
    List<AppRunner> runners = new ArrayList<>();
    for (String id : List.of("i-1", "i-2", "i-3")) {
      runners.add(new AppRunner(journal, id, 43));
    }
    AppRunner leaving = runners.get(0);
    List<AppRunner> listed = new java.util.concurrent.CopyOnWriteArrayList<>(runners);
    Thread beats = Thread.startVirtualThread(() -> beat(store, listed));
    store.put("keyed.op", "config", CONFIG);
    for (String name : List.of("front-a", "front-b", "front-c")) {
      nodes.add(new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
    Thread.sleep(1_500);
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    Map<String, String> answers = new ConcurrentHashMap<>();
    Thread traffic =
        Thread.startVirtualThread(() -> sendRequests(journal, nodes, sentAt, answers));
    Thread.sleep(6_000);
    double silentAt = journal.seconds();
    if (isTroubled) {
      store.silenceOpenConnections();
      journal.line("the open connections to the store go silent");
    }
    Thread.sleep(300);
    listed.remove(leaving);
    store.put("keyed.servers", leaving.id, "");
    double removedAt = journal.seconds();
    journal.line("the entry of runner %s is removed", leaving.id);
    Thread.sleep(SERVING_MILLIS);
    leaving.exit();
    Thread.sleep(3_000);
    traffic.interrupt();
    beats.interrupt();
    Thread.sleep(1_200);
    return judge(journal, leaving, silentAt, removedAt, sentAt, answers);
  }

  private static void beat(LogStore store, List<AppRunner> listed) {
    try {
      for (long seq = 1; ; seq++) {
        for (AppRunner runner : listed) {
          store.put("keyed.servers", runner.id, runner.entry("app", "ready", seq));
        }
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private static void sendRequests(
      Journal journal, List<Node> nodes, Map<String, Double> sentAt, Map<String, String> answers) {
    AtomicInteger number = new AtomicInteger();
    try {
      while (true) {
        for (Node node : nodes) {
          String attempt = "r" + number.incrementAndGet();
          Thread.startVirtualThread(() -> send(journal, node, attempt, sentAt, answers));
          Thread.sleep(20);
        }
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private static void send(
      Journal journal,
      Node node,
      String attempt,
      Map<String, Double> sentAt,
      Map<String, String> answers) {
    String head =
        "POST /despacho/2f HTTP/1.1\r\nHost: granja.example\r\nContent-Length: 2\r\n"
            + "Dragonflyhill-Request-Attempt-Id: "
            + attempt
            + "\r\nDragonflyhill-Deadline-Ms: 1000\r\n";
    sentAt.put(attempt, journal.seconds());
    String answer;
    try {
      Http.Message message = Http.call(node.front, head, new byte[] {'4', '2'}, 1_000);
      answer = Integer.toString(message.status());
    } catch (IOException e) {
      answer = e.toString();
    }
    answers.put(attempt, answer);
    journal.line("%s at %s answered %s", attempt, node.name, answer);
  }

  private static int judge(
      Journal journal,
      AppRunner leaving,
      double silentAt,
      double removedAt,
      Map<String, Double> sentAt,
      Map<String, String> answers) {
    Map<String, Integer> counts = new HashMap<>();
    answers.values().forEach(answer -> counts.merge(answer, 1, Integer::sum));
    journal.line("answers: %s", counts);
    if (counts.getOrDefault("200", 0) < MIN_ANSWERED || leaving.arrivals.isEmpty()) {
      return NOT_RUN;
    }
    double inTouchFrom = silentAt + STABILITY_WINDOW_S;
    int late = 0;
    for (AppRunner.Arrival arrival : leaving.arrivals) {
      boolean isInTouch = sentAt.get(arrival.attempt()) > inTouchFrom;
      if (isInTouch && arrival.at() > removedAt + DRAIN_S) {
        late++;
        journal.line(
            "DRAIN is broken: %s reached runner %s %.3f s after its entry was removed; answered %s",
            arrival.attempt(),
            leaving.id,
            arrival.at() - removedAt,
            answers.get(arrival.attempt()));
      }
    }
    answers.forEach(
        (attempt, answer) -> {
          if (!answer.equals("200")) {
            journal.line("%s, which must run once at most, ended with %s", attempt, answer);
          }
        });
    return late > 0 ? BROKEN : HELD;
  }
}
