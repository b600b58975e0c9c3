package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.RunnerPort;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Measures the delay that a node adds to the first token and the rate at which it relays tokens.
 *
 * <p>Checks no limits and runs only when named: {@code mvn test -pl proofs -am
 * -Dtest=RelayMeasurement}.
 */
public final class RelayMeasurement {

  private static final int WARM_UP_REQUESTS = 400;
  private static final int REQUESTS = 2_000;
  private static final int STREAMS = 64;
  private static final int STREAM_TOKENS = 2_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private Deployment deployment;
  private ProcessHelper node;
  private long nodePid;

  /** Starts a runner with negligible prefill and token times, and a node. */
  @BeforeClass
  public void start() {
    deployment = new Deployment(0);
    deployment.runners.add(
        deployment.startStandin(
            "runner", "--slots=128", "--prefill-tokens-per-second=100000000", "--token-micros=1"));
    assertEquals(deployment.apply().exitCode(), 0);
    Set<Long> before = childPids();
    node = deployment.startNode("node-a");
    nodePid = childPids().stream().filter(pid -> !before.contains(pid)).findFirst().orElseThrow();
  }

  /** Stops all processes. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void firstToken() {
    List<Long> direct = new ArrayList<>();
    List<Long> relayed = new ArrayList<>();
    for (int i = 0; i < WARM_UP_REQUESTS + REQUESTS; i++) {
      long directNanos = firstDataNanos(directRequest("direct " + i, 2));
      long relayedNanos = firstDataNanos(relayedRequest("relayed " + i, 2));
      if (i >= WARM_UP_REQUESTS) {
        direct.add(directNanos);
        relayed.add(relayedNanos);
      }
    }
    direct.sort(Long::compare);
    relayed.sort(Long::compare);
    System.out.printf(
        "MEASURED first token, one request at a time, us: direct p50 %d p99 %d, node p50 %d p99"
            + " %d%n",
        micros(direct, 0.5), micros(direct, 0.99), micros(relayed, 0.5), micros(relayed, 0.99));
  }

  @Test(dependsOnMethods = "firstToken")
  public void relayedTokens() throws Exception {
    long cpuBefore = nodeCpu().toNanos();
    long before = System.nanoTime();
    try (ExecutorService callers = Executors.newFixedThreadPool(STREAMS)) {
      List<Future<Long>> streams = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        HttpRequest request = relayedRequest("stream " + i, STREAM_TOKENS);
        streams.add(callers.submit(() -> countDataLines(request)));
      }
      long events = 0;
      for (Future<Long> stream : streams) {
        events += stream.get();
      }
      double seconds = (System.nanoTime() - before) / 1e9;
      double cpuSeconds = (nodeCpu().toNanos() - cpuBefore) / 1e9;
      System.out.printf(
          "MEASURED relayed tokens: %d in %.2f s = %.0f a second, node used %.2f s of processor"
              + " time = %.1f us a token%n",
          events, seconds, events / seconds, cpuSeconds, cpuSeconds * 1e6 / events);
    }
  }

  private static Set<Long> childPids() {
    return ProcessHandle.current().children().map(ProcessHandle::pid).collect(Collectors.toSet());
  }

  private Duration nodeCpu() {
    return ProcessHandle.of(nodePid)
        .flatMap(process -> process.info().totalCpuDuration())
        .orElseThrow();
  }

  private static long micros(List<Long> sorted, double quantile) {
    return sorted.get((int) (sorted.size() * quantile)) / 1_000;
  }

  private HttpRequest relayedRequest(String prompt, int tokens) {
    String body =
        Json.mapper()
            .createObjectNode()
            .put("model", "m1")
            .put("prompt", prompt)
            .put("max_tokens", tokens)
            .put("stream", true)
            .toString();
    return deployment
        .request(node, "/v1/completions", Deployment.GRANJA_KEY)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private HttpRequest directRequest(String prompt, int tokens) {
    var request =
        new RunnerPort.CompletionRequest(
            prompt, "granja", "m1", "v1", prompt, List.of(), 2_048, tokens, 0, false, List.of());
    String address = deployment.runners.getFirst().address("port");
    return HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
        .POST(HttpRequest.BodyPublishers.ofString(Json.write(request)))
        .build();
  }

  private long firstDataNanos(HttpRequest request) {
    long before = System.nanoTime();
    try (BufferedReader lines = open(request)) {
      String line = lines.readLine();
      final long nanos = System.nanoTime() - before;
      if (!line.startsWith("data:")) {
        throw new IllegalStateException(line);
      }
      while (line != null) {
        line = lines.readLine();
      }
      return nanos;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private long countDataLines(HttpRequest request) {
    try (BufferedReader lines = open(request)) {
      return lines.lines().filter(line -> line.startsWith("data:")).count();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private BufferedReader open(HttpRequest request) {
    try {
      var answer = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
      return new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
