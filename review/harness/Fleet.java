import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** What the cases have in common: a store, nodes, entries of runners, waiting. */
final class Fleet {

  private static final String[] ZONES = {"rancagua", "rancagua", "melipilla", "san-fernando"};
  private static final long HEARTBEAT_MILLIS = 1_200;

  final Journal journal;
  final boolean trouble = !System.getProperty("trouble").equals("0");
  final Store store;
  final List<Node> nodes = new ArrayList<>();
  private final Path temporary = Path.of(System.getProperty("temporary"));
  private final String storeAddress;
  private final Map<String, Supplier<String>> entries = new java.util.concurrent.ConcurrentHashMap<>();

  Fleet() throws IOException {
    // A case that fails by itself must not count as one that broke its rule.
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> {
          error.printStackTrace();
          nodes.forEach(Node::kill);
          Runtime.getRuntime().halt(2);
        });
    journal = new Journal(Path.of(System.getProperty("folder"), "record.txt"));
    int port = Node.freePort("127.0.0.1");
    storeAddress = "127.0.0.1:" + port;
    store = new Store("127.0.0.1", port, journal);
    store.start();
    journal.say("trouble: %s", trouble ? "yes" : "no");
  }

  /** Lists a runner and writes its entry every 1,200 ms while the store is there. */
  void list(String id, Supplier<String> entry) {
    entries.put(id, entry);
    store.put("keyed.servers", id, entry.get());
    Thread.ofVirtual()
        .start(
            () -> {
              sleep(HEARTBEAT_MILLIS * (id.hashCode() & 7) / 8);
              while (true) {
                sleep(HEARTBEAT_MILLIS);
                if (entries.get(id) != entry) {
                  return;
                }
                try {
                  store.put("keyed.servers", id, entry.get());
                } catch (IllegalStateException e) {
                  // The store is away; the next heartbeat tries again.
                }
              }
            });
  }

  /** Writes the entries of all runners again, as they do once the store is back. */
  void writeEntriesAgain() {
    entries.forEach((id, entry) -> store.put("keyed.servers", id, entry.get()));
  }

  void startNodes(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      nodes.add(new Node(i + 1, ZONES[i % ZONES.length], storeAddress, temporary, journal));
    }
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static boolean await(long millis, BooleanSupplier condition) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        return false;
      }
      sleep(20);
    }
    return true;
  }

  /** Ends the case: with 1 if the rule was broken, else with 0. */
  void end(boolean broken, String why) {
    journal.say("%s: %s", broken ? "BROKEN" : "held", why);
    nodes.forEach(Node::kill);
    journal.close();
    Runtime.getRuntime().halt(broken ? 1 : 0);
  }

  /** Ends the case with 2, since it could not run. */
  void unusable(String why) {
    journal.say("could not run: %s", why);
    nodes.forEach(Node::kill);
    journal.close();
    Runtime.getRuntime().halt(2);
  }

  /** Sends a request on a connection of its own and returns the status line and the rest. */
  static String exchange(Node node, String text, int timeoutMillis) {
    try (Socket socket = new Socket(node.ip, node.front)) {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      return "error: " + e;
    }
  }
}
