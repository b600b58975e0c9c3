package org.dragonflyhill.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.ports.HttpLogClient;
import org.dragonflyhill.ports.LogPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Stand-in for the append-only log service, holding its records in memory.
 *
 * <p>{@code POST /streams/{name}/records} appends records, {@code GET} on the same path reads them
 * and waits up to {@code wait_millis} if there are none, and {@code POST
 * /streams/{name}/expire?before=N} removes the records with an offset below N.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class LogStandin implements StandinServer.Handler {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final Map<String, Stream> streams = new HashMap<>();

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    List<String> parts = request.pathSegments();
    if (parts.size() != 3 || !parts.get(0).equals("streams")) {
      return Mono.just(StandinReply.jsonText(404, "{}"));
    }
    String stream = parts.get(1);
    if (parts.get(2).equals("expire")) {
      expire(stream, request.queryNumber("before"));
      return Mono.just(StandinReply.jsonText(200, "{}"));
    }
    if (request.method().equals("POST")) {
      long first = append(stream, request.parseBody(HttpLogClient.AppendRequest.class).records());
      return Mono.just(StandinReply.json(new HttpLogClient.AppendResponse(first)));
    }
    return read(stream, request);
  }

  private Mono<StandinReply> read(String stream, StandinRequest request) {
    long from = request.queryNumber("from");
    int limit = (int) request.queryNumber("limit");
    Duration wait = Duration.ofMillis(request.queryNumber("wait_millis"));
    return Flux.interval(Duration.ZERO, POLL_INTERVAL)
        .onBackpressureDrop()
        .map(tick -> page(stream, from, limit))
        .filter(page -> !page.records().isEmpty() || page.earliest() > from)
        .next()
        .timeout(wait.plusMillis(1), Mono.fromSupplier(() -> page(stream, from, limit)))
        .map(StandinReply::json);
  }

  private synchronized long append(String name, List<String> records) {
    Stream stream = stream(name);
    long first = stream.earliest + stream.records.size();
    stream.records.addAll(records);
    return first;
  }

  private synchronized void expire(String name, long before) {
    Stream stream = stream(name);
    int count = (int) Math.min(Math.max(0, before - stream.earliest), stream.records.size());
    stream.records.subList(0, count).clear();
    stream.earliest += count;
  }

  private synchronized LogPort.Page page(String name, long from, int limit) {
    Stream stream = stream(name);
    long next = stream.earliest + stream.records.size();
    List<LogPort.LogRecord> records = new ArrayList<>();
    for (long offset = Math.max(from, stream.earliest);
        offset < next && records.size() < limit;
        offset++) {
      String value = stream.records.get((int) (offset - stream.earliest));
      records.add(new LogPort.LogRecord(offset, value));
    }
    return new LogPort.Page(stream.earliest, next, records);
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, key -> new Stream());
  }

  private static final class Stream {
    private final List<String> records = new ArrayList<>();
    private long earliest;
  }
}
