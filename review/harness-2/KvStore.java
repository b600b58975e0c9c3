import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of a managed store of KV cache, as PROTOCOL.md has it; runners use it directly. */
final class KvStore {

  /**
   * A part.
   *
   * @param tokens its tokens
   * @param version version of the weights under which it was made
   * @param completeAt when it is whole, in nanoseconds
   */
  record Part(int tokens, long version, long completeAt) {}

  private static final Pattern FREED = Pattern.compile("\\[\"([^\"]+)\",\"([^\"]+)\"\\]");
  private static final long TRANSFER_NANOS = 20_000_000;

  private final Journal journal;
  private final Http.Server server;
  private final long epoch = System.currentTimeMillis();
  private final Map<String, Part> parts = new HashMap<>();
  private final List<String> events = new ArrayList<>();

  KvStore(Journal journal) throws IOException {
    this.journal = journal;
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  private static String key(String salt, String id) {
    return salt + "|" + id;
  }

  /** Returns a part that is whole. */
  synchronized Optional<Part> find(String salt, String id) {
    return Optional.ofNullable(parts.get(key(salt, id)))
        .filter(part -> part.completeAt() <= System.nanoTime());
  }

  /** Takes a part that a runner has read; one that is there already stays as it was first made. */
  synchronized void save(String salt, String id, int tokens, long version) {
    Part part = new Part(tokens, version, System.nanoTime() + TRANSFER_NANOS);
    if (parts.putIfAbsent(key(salt, id), part) != null) {
      return;
    }
    journal.line("the store keeps part %s of version %d", id, version);
    Thread.startVirtualThread(
        () -> {
          try {
            Thread.sleep(TRANSFER_NANOS / 1_000_000 + 30);
          } catch (InterruptedException e) {
            return;
          }
          addEvent("+", salt, id, tokens);
        });
  }

  private synchronized void addEvent(String sign, String salt, String id, int tokens) {
    events.add(
        "[%d,\"%s\",\"%s\",\"%s\",%d,\"m\"]".formatted(events.size() + 1, sign, salt, id, tokens));
    notifyAll();
  }

  private synchronized void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    switch (request.path()) {
      case "/kv-events" -> {
        int since = Integer.parseInt(request.query("since", "0"));
        if (events.size() <= since) {
          wait(700);
        }
        respond(connection, "events", events.subList(Math.min(since, events.size()), events.size()));
      }
      case "/kv-list" -> {
        List<String> held = new ArrayList<>();
        parts.forEach(
            (key, part) -> {
              if (part.completeAt() <= System.nanoTime()) {
                String[] names = key.split("\\|");
                held.add("[\"%s\",\"%s\",%d,\"m\"]".formatted(names[0], names[1], part.tokens()));
              }
            });
        respond(connection, "held", held);
      }
      case "/kv-free" -> {
        for (Matcher m = FREED.matcher(request.text()); m.find(); ) {
          if (parts.remove(key(m.group(1), m.group(2))) != null) {
            journal.line("the store frees part %s", m.group(2));
            addEvent("-", m.group(1), m.group(2), 0);
          }
        }
        connection.respond(200, "", "{}");
      }
      default -> connection.respond(404, "", "{}");
    }
  }

  private void respond(Http.Connection connection, String field, List<String> rows)
      throws IOException {
    connection.respond(
        200,
        "Content-Type: application/json\r\n",
        "{\"restart_epoch\":%d,\"next\":%d,\"lost\":false,\"%s\":[%s],\"clock_ms\":%d}"
            .formatted(
                epoch, events.size(), field, String.join(",", rows), System.currentTimeMillis()));
  }
}
