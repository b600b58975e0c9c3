import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of a model runner: answers streams and carries out orders, as PROTOCOL.md has it. */
final class LlmRunner {

  /** An order as it arrived, with the runner's answer. */
  record Order(double at, String holder, long token, long version, int status) {}

  private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":\"?([^\",}]*)\"?");
  private static final int EVENTS = 5;

  final String id;
  final List<Order> orders = new ArrayList<>();
  private final Journal journal;
  private final Http.Server server;
  private final long born = System.currentTimeMillis();
  private long seq;
  private long fence = -1;
  private long version = 1;
  private boolean isBusy;

  LlmRunner(Journal journal, String id) throws IOException {
    this.journal = journal;
    this.id = id;
    server = new Http.Server(this::handle);
  }

  synchronized long version() {
    return version;
  }

  /** Returns the runner's entry in the store. */
  synchronized String entry(String service, String zone) {
    return """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":16,"state":"ready",\
        "cold_remaining_ms":0,"seq":%d,"born":%d,"stage":"combined",\
        "models":[{"name":"m0","version":%d,"adapters":[]}]}"""
        .formatted(service, server.address(), zone, seq, born, version);
  }

  private void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    switch (request.path()) {
      case "/report" -> connection.respond(200, "Content-Type: application/json\r\n", report());
      case "/order" -> order(request, connection);
      case "/kv-events" -> {
        Thread.sleep(800);
        connection.respond(
            200,
            "Content-Type: application/json\r\n",
            "{\"restart_epoch\":%d,\"next\":0,\"lost\":false,\"events\":[],\"clock_ms\":%d}"
                .formatted(born, System.currentTimeMillis()));
      }
      case "/kv-list" ->
          connection.respond(
              200,
              "Content-Type: application/json\r\n",
              "{\"restart_epoch\":%d,\"next\":0,\"held\":[]}".formatted(born));
      default -> stream(request, connection);
    }
  }

  private synchronized String report() {
    return """
        {"stage":"combined","models":[{"name":"m0","version":%d,"adapters":[]}],"busy":%s,\
        "seq":%d,"queued_requests":0,"running_requests":0,"kv_used":0,"kv_total":113358,\
        "handles":0,"born":%d}"""
        .formatted(version, isBusy, seq, born);
  }

  private void order(Http.Message request, Http.Connection connection) throws IOException {
    String body = request.text();
    long token = Long.parseLong(field(body, "fencing_token"));
    long wanted = Long.parseLong(field(body, "version"));
    int status = accept(request, body, token, wanted);
    journal.line(
        "runner %s: order version %d, holder %s, token %d, answered %d",
        id, wanted, field(body, "holder"), token, status);
    synchronized (this) {
      orders.add(new Order(journal.seconds(), field(body, "holder"), token, wanted, status));
    }
    connection.respond(status, "Content-Type: application/json\r\n", "{}");
  }

  private synchronized int accept(Http.Message request, String body, long token, long wanted) {
    String expected = request.header("Dragonflyhill-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      return 421;
    }
    if (token < fence) {
      return 412;
    }
    fence = token;
    if (version == wanted) {
      return 200;
    }
    String revision = field(body, "expected_revision");
    if (isBusy || !revision.isEmpty() && Long.parseLong(revision) != seq) {
      return 409;
    }
    seq++;
    isBusy = true;
    Thread.startVirtualThread(() -> load(wanted));
    return 202;
  }

  private void load(long wanted) {
    try {
      Thread.sleep(210);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      version = wanted;
      isBusy = false;
    }
    journal.line("runner %s has version %d", id, wanted);
  }

  private static String field(String json, String name) {
    for (Matcher m = FIELD.matcher(json); m.find(); ) {
      if (m.group(1).equals(name)) {
        return m.group(2);
      }
    }
    return "";
  }

  private void stream(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    String ids = "Dragonflyhill-Request-Attempt-Id: " + attempt + "\r\n";
    String expected = request.header("Dragonflyhill-Expect-Instance");
    String wanted = request.header("Dragonflyhill-Expect-Version");
    long now = version();
    boolean isOther = !expected.isEmpty() && !expected.equals(id);
    if (isOther || !wanted.isEmpty() && Long.parseLong(wanted) != now) {
      String own = "Dragonflyhill-Instance-Id: " + id + "\r\n";
      connection.respond(421, ids + own + "Dragonflyhill-Not-Executed: 1\r\n", "");
      return;
    }
    journal.line("runner %s runs %s on version %d", id, attempt, now);
    String from = request.header("Last-Event-Id");
    connection.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + ids
            + String.format(
                Locale.ROOT,
                "Dragonflyhill-Response-Signature: %s.%s\r\nDragonflyhill-Weight-Versions: %d\r\n",
                id, attempt, now)
            + "\r\n");
    for (int i = from.isEmpty() ? 1 : Integer.parseInt(from) + 1; i <= EVENTS; i++) {
      Thread.sleep(20);
      connection.chunk("id: " + i + "\ndata: " + attempt + "-" + i + "\n\n");
    }
    connection.write("0\r\n\r\n");
  }
}
