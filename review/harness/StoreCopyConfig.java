import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The store comes back from a copy that lacks two configurations. The operator writes its newest one
 * again, and then changes it.
 */
public final class StoreCopyConfig {

  private static String config(long version, String keys, int timeoutMillis) {
    return """
        {"version":%d,"routes":[{"name":"u","host":"a.example","path_prefix":"/u/","kind":"unsafe",\
        "timeout_ms":%d,"target_latency_ms":193,"priority":2,"service":"app","max_attempts":2}],\
        "services":[{"name":"app","health_check_path":"/health","max_connections":96}],\
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
        "idle_timeout_ms":15000},"tenants":[{"name":"granja","api_keys":[%s]}]}"""
        .formatted(version, timeoutMillis, keys);
  }

  private static String request(String id, String key) {
    return "POST /u/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
        + "Dragonflyhill-Request-Attempt-Id: "
        + id
        + "\r\nDragonflyhill-Deadline-Ms: 1000\r\nAuthorization: Bearer "
        + key
        + "\r\nContent-Length: 2\r\n\r\n{}";
  }

  public static void main(String[] arguments) throws Exception {
    Fleet fleet = new Fleet();
    Journal journal = fleet.journal;
    Store store = fleet.store;
    String bothKeys = "\"key-1\",\"key-2\"";
    store.put("keyed.op", "config", config(1, bothKeys, 1_000));
    List<PlainRunner> runners = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      PlainRunner runner = new PlainRunner("i-" + i, "127.0.0.1", "app", 40, journal);
      runner.start();
      runners.add(runner);
      fleet.list(runner.id, runner::entry);
    }
    fleet.startNodes(4);
    Fleet.sleep(4_000);

    final Map<String, List<byte[]>> copy = store.copy();
    final long copiedAt = journal.millis();
    for (int version = 2; version <= 3; version++) {
      long offset = store.put("keyed.op", "config", config(version, bothKeys, 900 + version * 10));
      journal.say("operator: version %d of the config, offset %d", version, offset);
      Fleet.sleep(600);
    }
    Fleet.sleep(600);
    if (fleet.trouble) {
      store.goAway();
      Fleet.sleep(700);
      store.restore(copy);
      store.comeBack();
      journal.say("store: the copy is %d ms old", journal.millis() - copiedAt);
      long offset = store.put("keyed.op", "config", config(3, bothKeys, 930));
      fleet.writeEntriesAgain();
      journal.say("operator: version 3 of the config again, offset %d; runners too", offset);
    }
    long offset = store.put("keyed.op", "config", config(4, "\"key-1\"", 940));
    final long confirmedAt = journal.millis();
    journal.say("operator: version 4 of the config without key-2, offset %d", offset);

    Fleet.sleep(12_000);
    int stale = 0;
    for (int i = 0; i < fleet.nodes.size(); i++) {
      for (int k = 0; k < 3; k++) {
        String id = "q" + i + "-" + k;
        long sentAt = journal.millis() - confirmedAt;
        String answer = Fleet.exchange(fleet.nodes.get(i), request(id, "key-2"), 2_000);
        boolean hasRun =
            runners.stream().anyMatch(r -> r.runs.stream().anyMatch(run -> run.id().equals(id)));
        journal.say(
            "%s: request %s with key-2, sent %d ms after the confirmation: %s, %s",
            fleet.nodes.get(i).name, id, sentAt, answer.split("\r\n")[0], hasRun ? "run" : "not run");
        if (hasRun) {
          stale++;
        }
      }
    }
    fleet.end(stale > 0, stale + " requests ran with the key that version 4 dropped");
  }
}
