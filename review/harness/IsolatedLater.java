/** A configuration makes a tenant isolated whose requests have run before. */
public final class IsolatedLater {

  private static String config(long version, boolean isolated) {
    return """
        {"version":%d,"routes":[{"name":"r","host":"a.example","path_prefix":"/r/","kind":"streaming",\
        "timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"modelos","max_attempts":1,\
        "resumable":false,"sticky_sessions":true,"target_gap_ms":300}],\
        "services":[{"name":"modelos","health_check_path":"/health",\
        "max_connections":360,"engine":{"slots":64,"kv_cache_tokens":113358,"per_token_bytes":327680,\
        "link_mbps":1500000,"max_in_flight":12,"models":[{"name":"m"}]}}],\
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
        "idle_timeout_ms":15000},\
        "tenants":[{"name":"granja","api_keys":["key-granja"],"isolated":%b},\
        {"name":"vecino","api_keys":["key-vecino"],"isolated":false}]}"""
        .formatted(version, isolated);
  }

  private static String send(Fleet fleet, String id, String tenant) {
    String request =
        "POST /r/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
            + "Dragonflyhill-Request-Attempt-Id: "
            + id
            + "\r\nDragonflyhill-Deadline-Ms: 10000\r\nDragonflyhill-Model: m\r\n"
            + "Dragonflyhill-Token-Usage: 1460,42\r\n"
            + "Dragonflyhill-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
            + Integer.toHexString(id.hashCode())
            + ":250\r\nAuthorization: Bearer key-"
            + tenant
            + "\r\nContent-Length: 2\r\n\r\n{}";
    String answer = Fleet.exchange(fleet.nodes.get(0), request, 10_000).split("\r\n")[0];
    fleet.journal.say("%s: request %s: %s", tenant, id, answer);
    return answer;
  }

  public static void main(String[] arguments) throws Exception {
    Fleet fleet = new Fleet();
    fleet.store.put("keyed.op", "config", config(1, false));
    fleet.store.put("keyed.op", "version/m", "{\"model\":\"m\",\"version\":1}");
    CacheRunner runner = new CacheRunner("i-0", "127.0.0.1", "modelos", "m", fleet.journal);
    runner.start();
    fleet.list(runner.id, runner::entry);
    fleet.startNodes(2);
    Fleet.sleep(4_000);

    for (int i = 0; i < 3; i++) {
      if (!send(fleet, "g" + i, "granja").contains(" 200 ")) {
        fleet.unusable("a request of granja was not served");
      }
    }
    boolean isolated = fleet.trouble;
    fleet.store.put("keyed.op", "config", config(2, isolated));
    final long confirmedAt = fleet.journal.millis();
    fleet.journal.say("operator: version 2 of the config, granja isolated: %b", isolated);
    Fleet.sleep(6_000);
    for (int i = 0; i < 3; i++) {
      send(fleet, "v" + i, "vecino");
      send(fleet, "h" + i, "granja");
    }
    long shared =
        runner.uses().stream()
            .filter(use -> use.millis() > confirmedAt + 2_000)
            .filter(use -> !use.tenant().equals(use.maker()))
            .count();
    fleet.end(
        isolated && shared > 0,
        shared + " times a request used a part that a request of the other tenant had made");
  }
}
