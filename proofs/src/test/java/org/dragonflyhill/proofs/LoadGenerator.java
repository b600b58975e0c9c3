package org.dragonflyhill.proofs;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;

/**
 * Callers that send completion requests in a loop, half of them streamed, and check each answer.
 * Thread-safe.
 */
final class LoadGenerator implements AutoCloseable {

  private final Deployment deployment;
  private final ProcessHelper node;
  private final int tokens;
  private final String salt;
  private final OnRefusal onRefusal;
  private final ExecutorService callers;
  private final AtomicInteger requests = new AtomicInteger();
  private final List<String> incomplete = new CopyOnWriteArrayList<>();
  private final List<String> refused = new CopyOnWriteArrayList<>();
  private final ConcurrentHashMap<Integer, Boolean> completed = new ConcurrentHashMap<>();
  private volatile boolean isClosed;

  /** Starts the callers. */
  LoadGenerator(
      Deployment deployment,
      ProcessHelper node,
      int callerCount,
      int tokens,
      long seed,
      OnRefusal onRefusal) {
    this.onRefusal = onRefusal;
    this.deployment = deployment;
    this.node = node;
    this.tokens = tokens;
    salt = Long.toString(seed, 36);
    callers = Executors.newFixedThreadPool(callerCount);
    for (int i = 0; i < callerCount; i++) {
      boolean isStreamed = i % 2 == 0;
      callers.submit(() -> sendRepeatedly(isStreamed));
    }
  }

  /** Waits until at least {@code count} answers are complete and correct. */
  void awaitCompleted(int count) {
    org.awaitility.Awaitility.await()
        .atMost(java.time.Duration.ofSeconds(60))
        .until(() -> completed.size() >= count);
  }

  int requests() {
    return requests.get();
  }

  int completed() {
    return completed.size();
  }

  /** Returns the answers and errors that were neither a correct answer nor a refusal. */
  List<String> incomplete() {
    return new ArrayList<>(incomplete);
  }

  /** Returns the 503 answers that state that the request was not executed. */
  List<String> refused() {
    return new ArrayList<>(refused);
  }

  /** Stops sending and waits for the pending answers. */
  @Override
  public void close() {
    isClosed = true;
    callers.shutdown();
    try {
      callers.awaitTermination(60, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void sendRepeatedly(boolean isStreamed) {
    while (!isClosed && (onRefusal == OnRefusal.RETRY || refused.isEmpty())) {
      int number = requests.getAndIncrement();
      try {
        sendOne(number, isStreamed);
      } catch (IllegalStateException | java.io.UncheckedIOException e) {
        if (isNotConnected(e)) {
          requests.decrementAndGet();
          return;
        }
        incomplete.add(rootCause(e).toString());
      }
    }
  }

  private static Throwable rootCause(Throwable error) {
    return error.getCause() == null ? error : rootCause(error.getCause());
  }

  /**
   * Returns whether the connection failed, which means that the node has stopped and has not
   * received the request.
   */
  private static boolean isNotConnected(Throwable error) {
    Throwable cause = error;
    while (cause != null) {
      if (cause instanceof java.net.ConnectException) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }

  private void sendOne(int number, boolean isStreamed) {
    String prompt = "load " + salt + " " + number;
    HttpResponse<String> answer = deployment.complete(node, prompt, tokens, isStreamed);
    String body = answer.body();
    if (answer.statusCode() == 503 && body.contains("\"executed\":\"no\"")) {
      refused.add(body);
      return;
    }
    String text = isStreamed ? streamedText(body) : plainText(body);
    boolean isEnded = !isStreamed || body.endsWith("data: [DONE]\n\n");
    if (isEnded && text.equals(RunnerStandin.text(prompt, "v1", tokens))) {
      completed.put(number, true);
    } else {
      incomplete.add(answer.statusCode() + " " + body);
    }
  }

  /** What callers do after the node has refused a request. */
  enum OnRefusal {
    /** All callers stop, as if a load balancer sent them to another node. */
    STOP_SENDING,
    /** Callers go on sending to the same node at once. */
    RETRY
  }

  private static String plainText(String body) {
    return Json.readTree(body).get().at("/choices/0/text").asText();
  }

  /** Returns the text of a streamed answer, concatenated from its events. */
  static String streamedText(String events) {
    StringBuilder text = new StringBuilder();
    events
        .lines()
        .filter(line -> line.startsWith("data: {"))
        .map(line -> Json.readTree(line.substring("data: ".length())).get())
        .forEach(event -> text.append(event.at("/choices/0/text").asText()));
    return text.toString();
  }
}
