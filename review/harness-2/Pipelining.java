import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep connections open and send their next safe requests on them before the answers to
 * the earlier ones are in, as HTTP/1.1 allows. Each request must reach a runner unchanged, and the
 * answers must come in order.
 */
final class Pipelining {

  private static final String CONFIG =
      """
      {"version":17,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
      "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[],\
      "routes":[{"name":"estado","host":"granja.example","path_prefix":"/estado/",\
      "service":"app","kind":"safe","timeout_ms":4000,"target_latency_ms":193,\
      "max_attempts":2,"priority":2,"allow_anonymous":true}],\
      "services":[{"name":"app","health_check_path":"/health","max_connections":96}]}""";

  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  private static final int CLIENTS = 12;
  private static final int REQUESTS_AT_ONCE = 4;
  private static final int SECONDS = 12;
  private static final int BODY_BYTES = 1_200;
  private static final int SEGMENT_BYTES = 200;
  private static final int DEADLINE_MILLIS = 4_000;

  private final Journal journal;
  private final boolean isTroubled;
  private final Map<String, String> bodies = new ConcurrentHashMap<>();
  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();

  private Pipelining(Journal journal, boolean isTroubled) {
    this.journal = journal;
    this.isTroubled = isTroubled;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path folder = Files.createTempDirectory("pipelining");
    List<Node> nodes = new ArrayList<>();
    int result = NOT_RUN;
    try (Journal journal = new Journal(Path.of(args[1]))) {
      journal.line(isTroubled ? "requests are sent ahead" : "requests wait for the answer before");
      try {
        result = new Pipelining(journal, isTroubled).run(repository, folder, nodes);
      } catch (RuntimeException | IOException e) {
        journal.line("could not run: %s", e);
      } finally {
        nodes.forEach(Node::kill);
      }
      journal.line("result %d", result);
    }
    System.exit(result);
  }

  private int run(Path repository, Path folder, List<Node> nodes)
      throws IOException, InterruptedException {
    LogStore store = new LogStore(journal, 1);
    List<EchoRunner> runners = new ArrayList<>();
    for (String id : List.of("i-1", "i-2", "i-3")) {
      runners.add(new EchoRunner(id));
    }
    Thread beats = Thread.startVirtualThread(() -> beat(store, runners));
    store.put("keyed.op", "config", CONFIG);
    for (String name : List.of("front-a", "front-b")) {
      nodes.add(new Node(journal, repository, folder, name, "rancagua", store.address()));
    }
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
    Thread.sleep(1_500);
    long until = System.nanoTime() + SECONDS * 1_000_000_000L;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Node node = nodes.get(i % nodes.size());
      clients.add(Thread.startVirtualThread(() -> keepSending(node, until)));
    }
    for (Thread client : clients) {
      client.join();
    }
    beats.interrupt();
    journal.line("%d answers, %d errors", answered.get(), broken.get());
    if (answered.get() < 1_000) {
      return NOT_RUN;
    }
    return broken.get() > 0 ? BROKEN : HELD;
  }

  private static void beat(LogStore store, List<EchoRunner> runners) {
    try {
      for (long seq = 1; ; seq++) {
        for (EchoRunner runner : runners) {
          store.put("keyed.servers", runner.id, runner.entry(seq));
        }
        Thread.sleep(1_200);
      }
    } catch (InterruptedException e) {
      // The run is over.
    }
  }

  private void report(String format, Object... values) {
    broken.incrementAndGet();
    journal.line(format, values);
  }

  /** Sends requests on kept connections until the time is over or an answer is wrong. */
  private void keepSending(Node node, long until) {
    while (System.nanoTime() < until) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MILLIS + 2_000);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        boolean isOpen = true;
        while (isOpen && System.nanoTime() < until) {
          List<String> attempts = new ArrayList<>();
          for (int i = 0; i < (isTroubled ? REQUESTS_AT_ONCE : 1); i++) {
            attempts.add("r" + number.incrementAndGet());
          }
          Thread writer = Thread.startVirtualThread(() -> write(socket, attempts));
          for (String attempt : attempts) {
            isOpen = isOpen && readAnswer(in, node, attempt);
          }
          if (isOpen) {
            writer.join();
          }
        }
      } catch (IOException | InterruptedException e) {
        journal.line("a connection to %s failed: %s", node.name, e);
      }
    }
  }

  /** Writes requests one after the other, in segments as a client's link would carry them. */
  private void write(Socket socket, List<String> attempts) {
    try {
      OutputStream out = socket.getOutputStream();
      for (String attempt : attempts) {
        String body = (attempt + ".").repeat(BODY_BYTES / (attempt.length() + 1));
        bodies.put(attempt, body);
        String head =
            "POST /estado/2f HTTP/1.1\r\nHost: granja.example\r\nContent-Length: "
                + body.length()
                + "\r\nDragonflyhill-Request-Attempt-Id: "
                + attempt
                + "\r\nDragonflyhill-Deadline-Ms: "
                + DEADLINE_MILLIS
                + "\r\n\r\n";
        byte[] bytes = (head + body).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += SEGMENT_BYTES) {
          out.write(bytes, i, Math.min(SEGMENT_BYTES, bytes.length - i));
          out.flush();
          Thread.sleep(1 + ThreadLocalRandom.current().nextInt(2));
        }
      }
    } catch (IOException | InterruptedException e) {
      // The reader sees the closed connection too.
    }
  }

  /** Reads one answer; returns whether the connection can be used on. */
  private boolean readAnswer(BufferedInputStream in, Node node, String attempt)
      throws IOException {
    Http.Message answer;
    try {
      answer = Http.read(in);
    } catch (java.net.SocketTimeoutException e) {
      report("never answered: %s at %s", attempt, node.name);
      return false;
    }
    if (answer == null) {
      journal.line("%s closed the connection before the answer to %s", node.name, attempt);
      return false;
    }
    answered.incrementAndGet();
    String id = answer.header("Dragonflyhill-Request-Attempt-Id");
    if (!id.equals(attempt)) {
      report(
          "MIXED is broken: the answer to %s at %s is that to %s, status %d: %s",
          attempt, node.name, id, answer.status(), answer.text().lines().findFirst().orElse(""));
      return false;
    }
    if (answer.status() != 200) {
      journal.line("%s at %s answered %d: %s", attempt, node.name, answer.status(), answer.text());
    }
    return !answer.header("Connection").equalsIgnoreCase("close");
  }

  /** Stand-in of a sound runner, which compares each request with what its client sent. */
  private final class EchoRunner {

    final String id;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();

    EchoRunner(String id) throws IOException {
      this.id = id;
      server = new Http.Server(this::handle);
    }

    String entry(long seq) {
      return """
          {"service":"app","address":"%s","zone":"rancagua","version":"v1","slots":6,\
          "state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}"""
          .formatted(server.address(), seq, born);
    }

    private void handle(Http.Message request, Http.Connection connection)
        throws IOException, InterruptedException {
      String attempt = request.header("Dragonflyhill-Request-Attempt-Id");
      String sent = bodies.getOrDefault(attempt, "");
      if (!request.text().equals(sent)) {
        report(
            "UNASKED is broken: runner %s runs %s with a body of %d bytes, its client sent %d",
            id, attempt, request.body().length, sent.length());
      }
      Thread.sleep(ThreadLocalRandom.current().nextInt(1, 8));
      connection.respond(
          200,
          "Dragonflyhill-Request-Attempt-Id: "
              + attempt
              + "\r\nDragonflyhill-Response-Signature: "
              + id
              + "."
              + attempt
              + "\r\nKeep-Alive: timeout=5\r\n",
          "answer to " + attempt);
    }
  }
}
