import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The store comes back from a copy that lacks the record of a holder of orders. */
public final class StoreCopyLease {

  private static final String CONFIG =
      """
      {"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/r/","kind":"streaming",\
      "timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"modelos","max_attempts":2,\
      "resumable":true}],"services":[{"name":"modelos","health_check_path":"/health",\
      "max_connections":360,"engine":{"slots":64,"kv_cache_tokens":113358,"per_token_bytes":327680,\
      "link_mbps":1500000,"max_in_flight":12,"models":[{"name":"m"}]}}],\
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
      "idle_timeout_ms":15000},"tenants":[{"name":"granja","api_keys":["key-1"]}]}""";

  public static void main(String[] arguments) throws Exception {
    Fleet fleet = new Fleet();
    Journal journal = fleet.journal;
    fleet.store.put("keyed.op", "config", CONFIG);
    fleet.store.put("keyed.op", "version/m", weights(1));
    ModelRunner[] runners = new ModelRunner[4];
    for (int i = 0; i < runners.length; i++) {
      runners[i] = new ModelRunner("i-" + i, "127.0.0.1", "modelos", "m", journal);
      runners[i].start();
      fleet.list(runners[i].id, runners[i]::entry);
    }
    // The four machines of the site and its three spare ones, which have been added.
    fleet.startNodes(7);
    Fleet.sleep(4_000);

    Map<String, List<byte[]>> copy = fleet.store.copy();
    final long copiedAt = journal.millis();
    Fleet.sleep(1_500);
    journal.say("operator: names version 2");
    fleet.store.put("keyed.op", "version/m", weights(2));
    if (!Fleet.await(6_000, () -> areAt(runners, 2))) {
      fleet.unusable("version 2 was not rolled out");
    }
    journal.say("all runners have version 2");
    if (fleet.trouble) {
      fleet.store.goAway();
      Fleet.sleep(700);
      fleet.store.restore(copy);
      fleet.store.comeBack();
      journal.say("store: the copy is %d ms old", journal.millis() - copiedAt);
      fleet.store.put("keyed.op", "version/m", weights(2));
      fleet.writeEntriesAgain();
      journal.say("operator and runners have written again");
    }
    Fleet.sleep(7_000);
    journal.say("operator: names version 3");
    fleet.store.put("keyed.op", "version/m", weights(3));
    boolean isRolledOut = Fleet.await(8_000, () -> areAt(runners, 3));
    journal.say("all runners have version 3: %s", isRolledOut);

    String broken = "";
    for (ModelRunner runner : runners) {
      Map<Long, String> holders = new HashMap<>();
      for (ModelRunner.Order order : runner.orders()) {
        String before = holders.putIfAbsent(order.token(), order.holder());
        if (before != null && !before.equals(order.holder())) {
          broken =
              "%s got orders of %s and of %s with fencing token %d"
                  .formatted(runner.id, before, order.holder(), order.token());
          journal.say("%s", broken);
        }
      }
    }
    fleet.end(!broken.isEmpty(), broken.isEmpty() ? "one holder for each token" : broken);
  }

  private static String weights(long version) {
    return "{\"model\":\"m\",\"version\":" + version + "}";
  }

  private static boolean areAt(ModelRunner[] runners, long version) {
    for (ModelRunner runner : runners) {
      if (runner.version() < version) {
        return false;
      }
    }
    return true;
  }
}
