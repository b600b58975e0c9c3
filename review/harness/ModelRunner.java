import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of a model runner: reports, orders, cache events without events, and requests. */
final class ModelRunner {

  /** An order that this runner received. */
  record Order(long millis, String holder, long token, long version, int status) {}

  private static final long LOAD_MILLIS = 210;

  final String id;
  final String address;
  private final MiniHttp http;
  private final Journal journal;
  private final String service;
  private final String model;
  private final long born = System.currentTimeMillis();
  private long version = 1;
  private long revision;
  private long highestToken = -1;
  private boolean busy;
  private final List<Order> orders = new ArrayList<>();

  ModelRunner(String id, String ip, String service, String model, Journal journal)
      throws IOException {
    this.id = id;
    this.service = service;
    this.model = model;
    this.journal = journal;
    int port = Node.freePort(ip);
    address = ip + ":" + port;
    http = new MiniHttp(ip, port, this::handle);
  }

  void start() throws IOException {
    http.start();
  }

  synchronized String entry() {
    return """
        {"service":"%s","address":"%s","zone":"rancagua","version":"v1","slots":64,\
        "state":"ready","cold_remaining_ms":0,"stage":"combined",\
        "models":[{"name":"%s","version":%d,"adapters":[]}],"seq":%d,"born":%d}"""
        .formatted(service, address, model, version, revision, born);
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  synchronized long version() {
    return version;
  }

  private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String expected = request.header("Dragonflyhill-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.reply(421, Map.of("Dragonflyhill-Instance-Id", id), new byte[0]);
      return;
    }
    switch (request.path()) {
      case "/report" -> json(exchange, 200, report());
      case "/order" -> json(exchange, order(new String(request.body(), StandardCharsets.UTF_8)), "{}");
      case "/kv-events" -> {
        Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
        json(exchange, 200, "{\"restart_epoch\":7,\"next\":0,\"lost\":false,\"events\":[]}");
      }
      case "/kv-list" -> json(exchange, 200, "{\"restart_epoch\":7,\"next\":0,\"held\":[]}");
      default -> json(exchange, 404, "{}");
    }
  }

  private synchronized String report() {
    return """
        {"stage":"combined","models":[{"name":"%s","version":%d,"adapters":[]}],"busy":%b,\
        "seq":%d,"queued_requests":0,"running_requests":0,"kv_used":0,"kv_total":90000,\
        "handles":0,"born":%d}"""
        .formatted(model, version, busy, revision, born);
  }

  /** Carries out an order to take a version; the fencing token is checked, as in this site. */
  private synchronized int order(String body) {
    long wanted = number(body, "version");
    long token = number(body, "fencing_token");
    long expectedRevision = number(body, "expected_revision");
    Matcher holder = Pattern.compile("\"holder\":\"([^\"]*)\"").matcher(body);
    String name = holder.find() ? holder.group(1) : "";
    int status;
    if (name.isEmpty() || token < 0) {
      status = 400;
    } else if (token < highestToken) {
      status = 412;
    } else if (busy || expectedRevision >= 0 && expectedRevision != revision) {
      status = 409;
    } else if (wanted == version) {
      status = 200;
    } else {
      status = 202;
      busy = true;
      revision++;
      Thread.ofVirtual().start(() -> load(wanted));
    }
    highestToken = Math.max(highestToken, token);
    orders.add(new Order(journal.millis(), name, token, wanted, status));
    journal.say(
        "%s: order: holder %s, fencing token %d, version %d, answered %d",
        id, name, token, wanted, status);
    return status;
  }

  private void load(long wanted) {
    try {
      Thread.sleep(LOAD_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      version = wanted;
      busy = false;
    }
  }

  private static long number(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":(-?[0-9]+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
  }

  private static void json(MiniHttp.Exchange exchange, int status, String body)
      throws IOException {
    exchange.reply(
        status,
        Map.of("Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }
}
