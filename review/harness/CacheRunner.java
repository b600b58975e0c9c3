import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of a model runner that keeps the parts of prompts under their salts. */
final class CacheRunner {

  /** A request that used a kept part. */
  record Use(long millis, String attempt, String tenant, String salt, String part, String maker) {}

  final String id;
  private final String address;
  private final String service;
  private final String model;
  private final Journal journal;
  private final MiniHttp http;
  private final long born = System.currentTimeMillis();

  /** Tenant whose request made a part, by salt and part. */
  private final Map<String, String> makers = new HashMap<>();

  private final List<Use> uses = new ArrayList<>();

  CacheRunner(String id, String ip, String service, String model, Journal journal)
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

  synchronized List<Use> uses() {
    return List.copyOf(uses);
  }

  String entry() {
    return """
        {"service":"%s","address":"%s","zone":"rancagua","version":"v1","slots":64,\
        "state":"ready","cold_remaining_ms":0,"stage":"combined",\
        "models":[{"name":"%s","version":1,"adapters":[]}],"seq":0,"born":%d}"""
        .formatted(service, address, model, born);
  }

  private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    switch (request.path()) {
      case "/kv-events" -> {
        Thread.sleep(Long.parseLong(request.headers().getOrDefault("wait-ms", "0")));
        json(exchange, "{\"restart_epoch\":7,\"next\":0,\"lost\":false,\"events\":[]}");
      }
      case "/kv-list" -> json(exchange, "{\"restart_epoch\":7,\"next\":0,\"held\":[]}");
      default -> run(request, exchange);
    }
  }

  private void run(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    String tenant = request.header("Dragonflyhill-Tenant");
    String salt = request.header("Dragonflyhill-Cache-Salt");
    String[] parts = request.header("Dragonflyhill-Prompt-Prefix").split(",");
    synchronized (this) {
      for (String each : parts) {
        String part = each.split(":")[0];
        String maker = makers.putIfAbsent(salt + " " + part, tenant);
        if (maker == null) {
          journal.say("%s: %s of %s read part %s, salt %s", id, attempt, tenant, part, salt);
        } else {
          uses.add(new Use(journal.millis(), attempt, tenant, salt, part, maker));
          journal.say(
              "%s: %s of %s used part %s, salt %s, which a request of %s had made",
              id, attempt, tenant, part, salt, maker);
        }
      }
    }
    Thread.sleep(30);
    String body = "id: 1\ndata: yes\n\n";
    exchange.reply(
        200,
        Map.of(
            "Content-Type", "text/event-stream",
            "Dragonflyhill-Request-Attempt-Id", attempt,
            "Dragonflyhill-Weight-Versions", "1",
            "Dragonflyhill-Response-Signature", "sig." + id + "." + attempt),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private static void json(MiniHttp.Exchange exchange, String body) throws IOException {
    exchange.reply(
        200,
        Map.of("Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }
}
