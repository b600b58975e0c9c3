import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the platform's store: a log with keyed topics of one partition, as PROTOCOL.md has
 * it. It can be away, and come back from a copy some seconds old, as the news page has it.
 */
final class Store {

  private final MiniHttp http;
  private Map<String, List<byte[]>> topics = new HashMap<>();
  private int era = 1;
  private volatile boolean away;
  private final Journal journal;

  Store(String host, int port, Journal journal) {
    this.journal = journal;
    http = new MiniHttp(host, port, this::handle);
  }

  void start() throws IOException {
    http.start();
  }

  /** Refuses connections and resets those that are open. */
  void goAway() {
    away = true;
    http.stop(true);
    journal.say("store: away");
  }

  void comeBack() throws IOException {
    away = false;
    http.start();
    journal.say("store: back, era %d", era);
  }

  boolean isAway() {
    return away;
  }

  synchronized Map<String, List<byte[]>> copy() {
    Map<String, List<byte[]>> copy = new HashMap<>();
    topics.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
    return copy;
  }

  /** Replaces the contents by a copy; the era rises by one. */
  synchronized void restore(Map<String, List<byte[]>> copy) {
    topics = copy;
    era++;
    notifyAll();
  }

  /** Appends a keyed record as the operator or a runner does; returns its offset. */
  synchronized long put(String topic, String key, String value) {
    if (away) {
      throw new IllegalStateException("the store is away");
    }
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] text = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
    record.put((byte) name.length).put(name).put(text);
    List<byte[]> records = topics.computeIfAbsent(topic, any -> new ArrayList<>());
    records.add(record.array());
    notifyAll();
    return records.size() - 1;
  }

  synchronized long end(String topic) {
    return topics.getOrDefault(topic, List.of()).size();
  }

  private void handle(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    Thread.sleep(2);
    switch (request.path()) {
      case "/log-append" -> append(request, exchange);
      case "/log-read" -> read(request, exchange);
      case "/log-newest" -> newest(request, exchange);
      default -> json(exchange, 404, "{}");
    }
  }

  private void json(MiniHttp.Exchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("Content-Type", "application/json", "Store-Era", "" + era);
    exchange.reply(status, headers, bytes);
  }

  private void append(MiniHttp.Request request, MiniHttp.Exchange exchange) throws IOException {
    String topic = request.query("topic");
    String at = request.query("at");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      json(exchange, 403, "{}");
      return;
    }
    List<byte[]> added = new ArrayList<>();
    ByteBuffer body = ByteBuffer.wrap(request.body());
    while (body.hasRemaining()) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      added.add(record);
    }
    int status = 200;
    String answer;
    synchronized (this) {
      List<byte[]> records = topics.computeIfAbsent(topic, any -> new ArrayList<>());
      if (at != null && Long.parseLong(at) != records.size()) {
        status = 412;
        answer = "{\"end_offset\":" + records.size() + "}";
      } else {
        long offset = records.size();
        records.addAll(added);
        notifyAll();
        answer = "{\"offset\":" + offset + ",\"end_offset\":" + records.size() + "}";
        if (topic.equals("keyed.duties")) {
          byte[] record = added.get(0);
          int key = record[0];
          journal.say(
              "store: era %d: %s appended %s at offset %d",
              era,
              topic,
              new String(record, 1 + key, record.length - 1 - key, StandardCharsets.UTF_8),
              offset);
        }
      }
    }
    json(exchange, status, answer);
  }

  private void read(MiniHttp.Request request, MiniHttp.Exchange exchange) throws Exception {
    String topic = request.query("topic");
    long from = Long.parseLong(request.query("from"));
    long wait = request.query("wait_ms") == null ? 0 : Long.parseLong(request.query("wait_ms"));
    long until = System.nanoTime() + wait * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      int seen = era;
      while (topics.getOrDefault(topic, List.of()).size() == from && era == seen) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          break;
        }
        wait(left);
      }
      List<byte[]> records = topics.getOrDefault(topic, List.of());
      if (from <= records.size()) {
        out.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
        for (byte[] record : records.subList((int) from, records.size())) {
          out.write(ByteBuffer.allocate(4).putInt(record.length).array());
          out.write(record);
        }
      }
    }
    if (out.size() == 0) {
      json(exchange, 410, "{\"first_offset\":0}");
      return;
    }
    Map<String, String> headers =
        Map.of("Content-Type", "application/octet-stream", "Store-Era", "" + era);
    exchange.reply(200, headers, out.toByteArray());
  }

  private void newest(MiniHttp.Request request, MiniHttp.Exchange exchange) throws IOException {
    String topic = request.query("topic");
    StringBuilder items = new StringBuilder();
    long end;
    synchronized (this) {
      Map<String, String> byKey = new LinkedHashMap<>();
      List<byte[]> records = topics.getOrDefault(topic, List.of());
      end = records.size();
      for (int i = 0; i < records.size(); i++) {
        byte[] record = records.get(i);
        int length = record[0] & 0xFF;
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
        if (value.length == 0) {
          byKey.remove(key);
        } else {
          String text = Base64.getEncoder().encodeToString(value);
          byKey.put(
              key, "{\"key\":\"" + key + "\",\"value\":\"" + text + "\",\"offset\":" + i + "}");
        }
      }
      items.append(String.join(",", byKey.values()));
    }
    json(exchange, 200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}");
  }
}
