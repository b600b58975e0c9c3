import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: a log with topics of one partition, as PROTOCOL.md has it. */
final class LogStore {

  private static final int PAGE = 500;

  private final Journal journal;
  private final Http.Server server;
  private Map<String, List<byte[]>> topics = new HashMap<>();
  private long era;

  LogStore(Journal journal, long firstEra) throws IOException {
    this.journal = journal;
    era = firstEra;
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Returns a copy of all records. */
  synchronized Map<String, List<byte[]>> copy() {
    Map<String, List<byte[]>> copy = new HashMap<>();
    topics.forEach((topic, records) -> copy.put(topic, new ArrayList<>(records)));
    return copy;
  }

  /** Is away for a moment and comes back from a copy. */
  void comeBackFrom(Map<String, List<byte[]>> copy, long awayMillis)
      throws IOException, InterruptedException {
    server.stop();
    Thread.sleep(awayMillis);
    synchronized (this) {
      topics = copy;
      era++;
      notifyAll();
    }
    server.start();
  }

  /** Is away for a moment and comes back with all that it had. */
  void restart(long awayMillis) throws IOException, InterruptedException {
    server.stop();
    Thread.sleep(awayMillis);
    server.start();
  }

  /** Lets the open connections go silent for good, without a reset, while new ones work. */
  void silenceOpenConnections() {
    server.silenceOpenConnections();
  }

  synchronized long put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + k.length + v.length);
    return append(topic, record.put((byte) k.length).put(k).put(v).array());
  }

  private synchronized long append(String topic, byte[] record) {
    List<byte[]> records = records(topic);
    records.add(record);
    notifyAll();
    return records.size() - 1;
  }

  private List<byte[]> records(String topic) {
    return topics.computeIfAbsent(topic, any -> new ArrayList<>());
  }

  private void handle(Http.Message request, Http.Connection connection)
      throws IOException, InterruptedException {
    String topic = request.query("topic", "");
    switch (request.path()) {
      case "/log-append" -> appendSent(request, topic, connection);
      case "/log-read" -> read(request, topic, connection);
      case "/log-newest" -> newest(request, topic, connection);
      default -> connection.respond(404, "", "{}");
    }
  }

  private String headers() {
    return "Content-Type: application/json\r\nStore-Era: " + era + "\r\n";
  }

  private void appendSent(Http.Message request, String topic, Http.Connection connection)
      throws IOException, InterruptedException {
    Thread.sleep(4);
    String answer;
    int status = 200;
    String headers;
    synchronized (this) {
      List<byte[]> records = records(topic);
      String at = request.query("at", "");
      if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
        status = 403;
        answer = "{}";
      } else if (!at.isEmpty() && Long.parseLong(at) != records.size()) {
        status = 412;
        answer = "{\"end_offset\":" + records.size() + "}";
      } else {
        long first = records.size();
        ByteBuffer body = ByteBuffer.wrap(request.body());
        while (body.hasRemaining()) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          append(topic, record);
        }
        answer = "{\"offset\":" + first + ",\"end_offset\":" + records.size() + "}";
        if (topic.equals("keyed.duties")) {
          journal.line(
              "store, era %d: record %d of %s: %s",
              era, first, topic, new String(request.body(), 5, request.body().length - 5));
        }
      }
      headers = headers();
    }
    connection.respond(status, headers, answer);
  }

  private void read(Http.Message request, String topic, Http.Connection connection)
      throws IOException, InterruptedException {
    long from = Long.parseLong(request.query("from", "0"));
    long until = System.nanoTime() + Long.parseLong(request.query("wait_ms", "0")) * 1_000_000;
    byte[] body;
    String headers;
    int status = 200;
    synchronized (this) {
      long left = (until - System.nanoTime()) / 1_000_000;
      while (records(topic).size() <= from && left > 0) {
        wait(left);
        left = (until - System.nanoTime()) / 1_000_000;
      }
      List<byte[]> records = records(topic);
      headers = headers();
      if (from > records.size()) {
        status = 410;
        body = "{\"first_offset\":0}".getBytes(StandardCharsets.UTF_8);
      } else {
        List<byte[]> rest = records.subList((int) from, records.size());
        ByteBuffer all =
            ByteBuffer.allocate(16 + rest.stream().mapToInt(r -> 4 + r.length).sum());
        all.putLong(records.size()).putLong(0);
        rest.forEach(r -> all.putInt(r.length).put(r));
        body = all.array();
      }
    }
    Thread.sleep(4);
    connection.respond(status, headers, body);
  }

  private void newest(Http.Message request, String topic, Http.Connection connection)
      throws IOException, InterruptedException {
    String answer;
    String headers;
    synchronized (this) {
      List<byte[]> records = records(topic);
      TreeMap<String, String> items = new TreeMap<>();
      for (int i = 0; i < records.size(); i++) {
        byte[] r = records.get(i);
        String key = new String(r, 1, r[0], StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(r, 1 + r[0], r.length);
        String text = Base64.getEncoder().encodeToString(value);
        items.put(
            key, "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}".formatted(key, text, i));
        if (value.length == 0) {
          items.remove(key);
        }
      }
      var rest = items.tailMap(request.query("after", ""), false);
      String page = String.join(",", rest.values().stream().limit(PAGE).toList());
      answer =
          "{\"items\":[%s],\"has_more\":%s,\"end_offset\":%d}"
              .formatted(page, rest.size() > PAGE, records.size());
      headers = headers();
    }
    Thread.sleep(4);
    connection.respond(200, headers, answer);
  }
}
