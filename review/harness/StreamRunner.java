import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in of a model runner that answers with streams of events. Each event names the version of
 * the software that wrote it.
 */
final class StreamRunner {

  /** A request that began to run. */
  record Run(long millis, String attempt, String lastEventId, String software) {}

  static final int EVENTS = 60;
  private static final long EVENT_MILLIS = 100;

  final String id;
  final String ip;
  final int port;
  private final String service;
  private final String model;
  private final String software;
  private final Journal journal;
  private final MiniHttp http;
  private final long born = System.currentTimeMillis();
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  StreamRunner(
      String id, String ip, int port, String service, String model, String software, Journal journal) {
    this.id = id;
    this.ip = ip;
    this.port = port;
    this.service = service;
    this.model = model;
    this.software = software;
    this.journal = journal;
    http = new MiniHttp(ip, port, this::handle);
  }

  void start() throws IOException {
    http.start();
  }

  /** Ends as a crashed process does: its connections break and its port is closed. */
  void crash() {
    stopped = true;
    http.stop(true);
  }

  String entry() {
    return """
        {"service":"%s","address":"%s:%d","zone":"rancagua","version":"%s","slots":64,\
        "state":"ready","cold_remaining_ms":0,"stage":"combined",\
        "models":[{"name":"%s","version":1,"adapters":[]}],"seq":0,"born":%d}"""
        .formatted(service, ip, port, software, model, born);
  }

  private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String expected = request.header("Dragonflyhill-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.reply(421, Map.of("Dragonflyhill-Instance-Id", id), new byte[0]);
      return;
    }
    switch (request.path()) {
      case "/kv-events" -> {
        Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
        json(exchange, "{\"restart_epoch\":" + born + ",\"next\":0,\"lost\":false,\"events\":[]}");
      }
      case "/kv-list" -> json(exchange, "{\"restart_epoch\":" + born + ",\"next\":0,\"held\":[]}");
      case "/report" ->
          json(
              exchange,
              """
              {"stage":"combined","models":[{"name":"%s","version":1,"adapters":[]}],"busy":false,\
              "seq":0,"queued_requests":0,"running_requests":0,"kv_used":0,"kv_total":90000,\
              "handles":0,"born":%d}"""
                  .formatted(model, born));
      default -> stream(request, exchange);
    }
  }

  private void stream(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    String last = request.header("Last-Event-Id");
    runs.add(new Run(journal.millis(), attempt, last == null ? "" : last, software));
    int next = last == null ? 1 : Integer.parseInt(last) + 1;
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + "Dragonflyhill-Request-Attempt-Id: "
            + attempt
            + "\r\nDragonflyhill-Response-Signature: sig."
            + id
            + "."
            + attempt
            + "\r\nDragonflyhill-Weight-Versions: 1\r\n\r\n";
    exchange.raw(head.getBytes(StandardCharsets.ISO_8859_1));
    for (; next <= EVENTS && !stopped; next++) {
      Thread.sleep(EVENT_MILLIS);
      String event = "id: " + next + "\ndata: token " + next + " written by " + software + "\n\n";
      String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
      exchange.raw(chunk.getBytes(StandardCharsets.ISO_8859_1));
    }
    exchange.raw("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void json(MiniHttp.Exchange exchange, String body) throws IOException {
    exchange.reply(
        200,
        Map.of("Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }
}
