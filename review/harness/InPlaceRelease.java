import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A runner crashes and starts again under its id with a newer version of its software. Callers whose
 * streams broke off take them up again.
 */
public final class InPlaceRelease {

  private static final int STREAMS = 32;
  private static final int DEADLINE_MILLIS = 12_000;
  private static final long RESTART_MILLIS = 500;

  /** Time from the start of a runner to its first entry; the next ones follow every 1,200 ms. */
  private static final long FIRST_HEARTBEAT_MILLIS = 600;

  /** Time after which a client takes up a stream that broke off. */
  private static final long RETRY_MILLIS = 700;

  private static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/r/","kind":"streaming",\
      "timeout_ms":12000,"target_latency_ms":600,"priority":2,"service":"modelos","max_attempts":2,\
      "resumable":true,"sticky_sessions":true,"target_gap_ms":300}],\
      "services":[{"name":"modelos","health_check_path":"/health",\
      "max_connections":360,"engine":{"slots":64,"kv_cache_tokens":113358,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":12,"models":[{"name":"m"}]}}],\
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
      "idle_timeout_ms":15000},"tenants":[{"name":"granja","api_keys":["key-1"]}]}""";

  /** A stream as its caller sees it, over all its tries. */
  private static final class Caller {
    private final int number;
    private final Fleet fleet;
    private final Set<String> versions = new TreeSet<>();
    private int last;
    private int tries;
    private boolean whole;

    Caller(int number, Fleet fleet) {
      this.number = number;
      this.fleet = fleet;
    }

    void run() {
      long until = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
      while (!whole && tries < 4) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left < 100) {
          return;
        }
        attempt(left);
        tries++;
        if (!whole) {
          Fleet.sleep(RETRY_MILLIS);
        }
      }
    }

    private void attempt(long left) {
      Node node = fleet.nodes.get((number + tries) % fleet.nodes.size());
      String head =
          "POST /r/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
              + "Dragonflyhill-Request-Attempt-Id: s%d-%d\r\n".formatted(number, tries)
              + "Dragonflyhill-Deadline-Ms: %d\r\n".formatted(left)
              + "Dragonflyhill-Model: m\r\nDragonflyhill-Token-Usage: 1460,80\r\n"
              + "Dragonflyhill-Prompt-Prefix: 5c1e%04x:800,%08x:660\r\n".formatted(number, number + 1)
              + (last == 0 ? "" : "Last-Event-Id: %d\r\nResumes: s%d-0\r\n".formatted(last, number))
              + "Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n{}";
      try (Socket socket = new Socket(node.ip, node.front)) {
        socket.setSoTimeout((int) left);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String status = MiniHttp.line(in);
        for (String line = MiniHttp.line(in); line != null; line = MiniHttp.line(in)) {
          if (line.startsWith("id: ")) {
            last = Integer.parseInt(line.substring(4));
          } else if (line.startsWith("data: ")) {
            versions.add(line.substring(line.lastIndexOf(' ') + 1));
          } else if (line.equals("0")) {
            whole = true;
          }
        }
        fleet.journal.say(
            "stream %d, attempt %d at %s: %s, last event %d, %s, versions %s",
            number, tries, node.name, status, last, whole ? "complete" : "broken off", versions);
      } catch (IOException e) {
        fleet.journal.say("stream %d, attempt %d at %s: %s", number, tries, node.name, e);
      }
    }
  }

  public static void main(String[] arguments) throws Exception {
    Fleet fleet = new Fleet();
    fleet.store.put("keyed.op", "config", CONFIG);
    fleet.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
    List<StreamRunner> runners = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      // Three runners have the new version already; the fourth is the last one to follow.
      String software = i < 3 ? "v2" : "v1";
      int port = Node.freePort("127.0.0.1");
      StreamRunner runner =
          new StreamRunner("i-" + i, "127.0.0.1", port, "modelos", "m", software, fleet.journal);
      runner.start();
      runners.add(runner);
      fleet.list(runner.id, runner::entry);
    }
    fleet.startNodes(4);
    Fleet.sleep(4_500);

    ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    List<Caller> callers = new ArrayList<>();
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Caller caller = new Caller(i, fleet);
      callers.add(caller);
      running.add(threads.submit(caller::run));
      Fleet.sleep(10);
    }
    Fleet.sleep(1_500);
    StreamRunner old = runners.get(3);
    fleet.journal.say("%s, the last one of v1, runs %d streams", old.id, old.runs.size());
    if (fleet.trouble) {
      old.crash();
      fleet.journal.say("%s: crashed", old.id);
      Fleet.sleep(RESTART_MILLIS);
      StreamRunner restarted =
          new StreamRunner(old.id, old.ip, old.port, "modelos", "m", "v2", fleet.journal);
      restarted.start();
      fleet.journal.say("%s: serves again, as v2", old.id);
      Fleet.sleep(FIRST_HEARTBEAT_MILLIS);
      fleet.list(restarted.id, restarted::entry);
      fleet.journal.say("%s: wrote its entry, as v2", old.id);
      runners.add(restarted);
    }
    for (Future<?> each : running) {
      each.get();
    }
    for (StreamRunner runner : runners) {
      for (StreamRunner.Run run : runner.runs) {
        fleet.journal.say(
            "%s as %s ran %s from event %s at %d ms",
            runner.id, run.software(), run.attempt(), run.lastEventId(), run.millis());
      }
    }
    long mixed = callers.stream().filter(caller -> caller.versions.size() > 1).count();
    long complete = callers.stream().filter(caller -> caller.whole).count();
    fleet.end(
        mixed > 2,
        mixed + " streams hold events of two versions, " + complete + " are complete");
  }
}
