package org.dragonflyhill.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflyhill.ports.Json;

/** Polls the configuration version of all nodes and counts the times that one decreases. */
final class VersionSampler implements AutoCloseable {

  private static final Duration INTERVAL = Duration.ofMillis(20);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client = HttpClient.newHttpClient();
  private final Map<ProcessHelper, Long> highest = new ConcurrentHashMap<>();
  private final AtomicInteger reversions = new AtomicInteger();
  private final Deployment deployment;
  private final Thread thread = new Thread(this::sample, "sampler");
  private volatile boolean isClosed;

  VersionSampler(Deployment deployment) {
    this.deployment = deployment;
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns how often a node's version was below one read before. */
  int reversions() {
    return reversions.get();
  }

  /** Clears the highest version read from each node, for use after nodes are replaced. */
  void clear() {
    highest.clear();
  }

  /** Returns the configuration version of a node, or -1 if it has none or does not answer. */
  synchronized long sampleVersion(ProcessHelper node) {
    JsonNode found = get(node, "/admin/configuration");
    long version = found.path("version").asLong(-1);
    if (!found.isMissingNode()) {
      long before = highest.merge(node, version, Math::max);
      reversions.addAndGet(version < before ? 1 : 0);
    }
    return version;
  }

  JsonNode configuration(ProcessHelper node) {
    return get(node, "/admin/configuration");
  }

  JsonNode status(ProcessHelper node) {
    return get(node, "/admin/status");
  }

  /** Returns how many nodes have a version according to the list of nodes on one of them. */
  int countNodesAtVersion(ProcessHelper node, long version) {
    int count = 0;
    for (JsonNode known : get(node, "/admin/nodes")) {
      count += known.path("configuration_version").asLong() == version ? 1 : 0;
    }
    return count;
  }

  @Override
  public void close() {
    isClosed = true;
    thread.interrupt();
  }

  private void sample() {
    while (!isClosed) {
      List.copyOf(deployment.nodes).forEach(this::sampleVersion);
      try {
        Thread.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized JsonNode get(ProcessHelper node, String path) {
    URI uri = URI.create("http://" + node.address("admin_port") + path);
    try {
      String body =
          client
              .send(
                  HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(),
                  HttpResponse.BodyHandlers.ofString())
              .body();
      return Json.readTree(body).get();
    } catch (java.io.IOException e) {
      return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
    }
  }
}
