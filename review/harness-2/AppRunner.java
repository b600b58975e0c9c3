import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a plain service's runner, as PROTOCOL.md has it. */
final class AppRunner {

  /** A request that reached the runner. */
  record Arrival(double at, String attempt) {}

  final String id;
  final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final Journal journal;
  private final Http.Server server;
  private final long workMillis;
  private final long born = System.currentTimeMillis();
  private volatile boolean isGone;

  AppRunner(Journal journal, String id, long workMillis) throws IOException {
    this.journal = journal;
    this.id = id;
    this.workMillis = workMillis;
    server = new Http.Server(this::handle);
  }

  boolean isGone() {
    return isGone;
  }

  /** Ends the process; its connections are reset. */
  void exit() throws IOException {
    isGone = true;
    server.stop();
    journal.line("runner %s exits", id);
  }

  /** Returns the runner's entry in the store. */
  String entry(String service, String state, long seq) {
    return """
        {"service":"%s","address":"%s","zone":"rancagua","version":"v1","slots":6,"state":"%s",\
        "cold_remaining_ms":0,"seq":%d,"born":%d}"""
        .formatted(service, server.address(), state, seq, born);
  }

  private void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    String own = "Dragonflyhill-Instance-Id: " + id + "\r\n";
    if (request.path().equals("/health")) {
      connection.respond(200, own, "");
      return;
    }
    String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
    String ids = "Dragonflyhill-Request-Attempt-Id: " + attempt + "\r\n";
    if (!request.header("Dragonflyhill-Expect-Instance").equals(id)) {
      connection.respond(421, ids + own + "Dragonflyhill-Not-Executed: 1\r\n", "");
      return;
    }
    arrivals.add(new Arrival(journal.seconds(), attempt));
    journal.line("runner %s runs %s", id, attempt);
    Thread.sleep(workMillis);
    String signature = "Dragonflyhill-Response-Signature: " + id + "." + attempt + "\r\n";
    connection.respond(200, ids + signature + "Keep-Alive: timeout=5\r\n", "done " + attempt);
  }
}
