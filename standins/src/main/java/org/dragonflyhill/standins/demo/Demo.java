package org.dragonflyhill.standins.demo;

import io.netty.handler.codec.http.HttpMethod;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.HttpHostListClient;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SettingSpec;
import org.dragonflyhill.ports.SettingValues;
import org.dragonflyhill.standins.RunnerStandin;
import reactor.core.publisher.Mono;

/**
 * Runs the demo from the point of view of a caller: a long prompt that is repeated after the
 * runners evicted it from their caches, an urgent prompt and a non-repeatable request that is sent
 * twice. All of them are repeated after one node was killed.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class Demo {

  private static final String MODEL = "guardia";
  private static final String WEIGHT_VERSION = "v1";
  private static final int MAX_TOKENS = 16;
  private static final Duration EVICTION_REPORT_WAIT = Duration.ofSeconds(1);
  private static final Duration EXPORT_WAIT = Duration.ofSeconds(5);
  private static final String LONG_PROMPT = repeatToLength("history of shed four, ", 16_000);
  private static final String URGENT_PROMPT = "ammonia high in shed four, fans stopped";
  private static final String DISPATCH_BODY = "{\"shed\":4,\"reason\":\"fans stopped\"}";

  private static final List<SettingSpec> SPECS =
      List.of(
          SettingSpec.required("phase", "hosts, before or after"),
          SettingSpec.required("nodes", "caller address (host:port) of each node, comma-separated"),
          SettingSpec.required("peers", "peer address (host:port) of each node, comma-separated"),
          SettingSpec.required("runners", "host:port of each runner, comma-separated"),
          SettingSpec.required("service-admin", "host:port of the service's admin port"),
          SettingSpec.required("host-list", "host:port of the host list service"),
          SettingSpec.required("bearer-key", "API key of the organisation"));

  private final SettingValues values;
  private final DemoCaller caller;
  private final PrintStream out;
  private final List<Boolean> checks = new ArrayList<>();

  private Demo(SettingValues values, DemoCaller caller, PrintStream out) {
    this.values = values;
    this.caller = caller;
    this.out = out;
  }

  /**
   * Runs one phase of the demo.
   *
   * @param flags command line flags
   * @param environment environment variables
   * @param out receives the table of requests
   * @return whether all checks passed
   */
  public static boolean run(String[] flags, Map<String, String> environment, PrintStream out) {
    SettingValues values = SettingValues.read(SPECS, flags, environment);
    if (!values.errors().isEmpty()) {
      values.errors().forEach(System.err::println);
      return false;
    }
    try (DemoCaller caller = new DemoCaller(values.text("bearer-key"))) {
      Demo demo = new Demo(values, caller, out);
      switch (values.text("phase")) {
        case "hosts" -> demo.publishHostList();
        case "before" -> demo.runBeforeNodeLoss();
        default -> demo.runAfterNodeLoss();
      }
      return demo.checks.stream().allMatch(verdict -> verdict);
    }
  }

  private void publishHostList() {
    List<HostListPort.Host> hosts = new ArrayList<>();
    List<String> peers = splitSetting("peers");
    for (int i = 0; i < peers.size(); i++) {
      hosts.add(
          new HostListPort.Host(
              "node-" + (i + 1), HostListPort.Role.NODE, peers.get(i), HostListPort.State.LIVE));
    }
    String body = Json.write(new HttpHostListClient.HostListResponse(hosts));
    var response = caller.callStandin(HttpMethod.PUT, values.text("host-list"), "/hosts", body);
    checks.add(response.status() == 200);
  }

  private void runBeforeNodeLoss() {
    out.printf("%-44s %6s %8s %16s  %s%n", "REQUEST", "STATUS", "MILLIS", "CACHED/PROMPT", "RIGHT");
    checkCompletion("long prompt, first time", 0, "shift-summary", LONG_PROMPT);
    // The pieces of a served prompt are exported to a store in the background. Waits for the export
    // before the runner caches are cleared.
    Mono.delay(EXPORT_WAIT).block();
    evictCaches();
    checkCompletion("the same prompt, runner caches evicted", 1, "shift-summary", LONG_PROMPT);
    checkCompletion("urgent alert", 2, "alert", URGENT_PROMPT);
    checkDispatch("dispatch", 0);
    checkDispatch("the same dispatch through another node", 1);
  }

  private void runAfterNodeLoss() {
    evictCaches();
    checkCompletion("long prompt, one node killed", 0, "shift-summary", LONG_PROMPT);
    checkCompletion("urgent alert, one node killed", 1, "alert", URGENT_PROMPT);
    checkDispatch("the same dispatch, one node killed", 1);
    checkDispatchCount();
  }

  private void checkCompletion(String label, int node, String task, String prompt) {
    var response =
        caller.complete(splitSetting("nodes").get(node), MODEL, task, prompt, MAX_TOKENS);
    boolean isCorrect =
        response.status() == 200
            && response
                .completionText()
                .equals(RunnerStandin.text(prompt, WEIGHT_VERSION, MAX_TOKENS));
    checkAndPrint(
        label, response, response.cachedTokens() + "/" + response.promptTokens(), isCorrect);
  }

  private void checkDispatch(String label, int node) {
    var response =
        caller.callService(
            splitSetting("nodes").get(node), "dispatch/send", "demo-order-1", DISPATCH_BODY);
    boolean isCorrect = response.status() == 200 && response.json().path("execution").asInt() == 1;
    checkAndPrint(label, response, "-", isCorrect);
  }

  private void checkDispatchCount() {
    var records =
        caller.callStandin(HttpMethod.GET, values.text("service-admin"), "/records", "").body();
    long executed = records.lines().filter(line -> line.contains("\"send\"")).count();
    out.printf("dispatches executed by the service: %d%n", executed);
    checks.add(executed == 1);
  }

  private void evictCaches() {
    for (String runner : splitSetting("runners")) {
      caller.callStandin(HttpMethod.POST, runner, "/cache/clear", "");
    }
    // Nodes learn of an eviction with a delay. For a prompt that returns before that, the runner
    // recomputes the prefill.
    Mono.delay(EVICTION_REPORT_WAIT).block();
  }

  private void checkAndPrint(
      String label, DemoCaller.Result response, String cached, boolean isCorrect) {
    checks.add(isCorrect);
    out.printf(
        "%-44s %6d %8d %16s  %s%n",
        label, response.status(), response.millis(), cached, isCorrect ? "yes" : "NO");
    if (!isCorrect) {
      out.println("  " + response.body().substring(0, Math.min(400, response.body().length())));
    }
  }

  private List<String> splitSetting(String name) {
    return Arrays.asList(values.text(name).split(","));
  }

  private static String repeatToLength(String words, int tokens) {
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; prompt.length() < tokens * 4; i++) {
      prompt.append(words).append(i).append(' ');
    }
    return prompt.toString();
  }
}
