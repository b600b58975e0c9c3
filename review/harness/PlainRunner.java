import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a runner of a plain service: runs requests and answers after some work. */
final class PlainRunner {

  /** A request that began to run. */
  record Run(long millis, String id, String path, String tenant, int bodyBytes) {}

  final String id;
  final String address;
  private final String service;
  private final Journal journal;
  private final MiniHttp http;
  private final long born = System.currentTimeMillis();
  private final long workMillis;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  final Map<String, Integer> answered = new ConcurrentHashMap<>();

  PlainRunner(String id, String ip, String service, long workMillis, Journal journal)
      throws IOException {
    this.id = id;
    this.service = service;
    this.workMillis = workMillis;
    this.journal = journal;
    int port = Node.freePort(ip);
    address = ip + ":" + port;
    http = new MiniHttp(ip, port, this::handle);
  }

  void start() throws IOException {
    http.start();
  }

  String entry() {
    return """
        {"service":"%s","address":"%s","zone":"rancagua","version":"v1","slots":6,\
        "state":"ready","cold_remaining_ms":0,"seq":1,"born":%d}"""
        .formatted(service, address, born);
  }

  private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String expected = request.header("Dragonflyhill-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.reply(421, Map.of("Dragonflyhill-Instance-Id", id), new byte[0]);
      return;
    }
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    if (attempt == null) {
      exchange.reply(200, Map.of("Dragonflyhill-Instance-Id", id), new byte[0]);
      return;
    }
    runs.add(
        new Run(
            journal.millis(),
            attempt,
            request.path(),
            request.header("Dragonflyhill-Tenant"),
            request.body().length));
    Thread.sleep(workMillis);
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Dragonflyhill-Request-Attempt-Id", attempt);
    headers.put("Dragonflyhill-Response-Signature", "sig." + id + "." + attempt);
    headers.put("Keep-Alive", "timeout=15");
    byte[] body = ("done " + attempt + " " + "x".repeat(780)).getBytes(StandardCharsets.UTF_8);
    answered.put(attempt, 200);
    exchange.reply(200, headers, body);
  }
}
