import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client that keeps its connection for many requests, each answered with a length or chunks. */
final class KeptClient {

  /** What came back: a status, or 0 for a connection that ended, or -1 for no answer in time. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {
    static Answer none(int status) {
      return new Answer(status, Map.of(), new byte[0], false);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private final Node node;
  private Socket socket;
  private InputStream in;
  private int answersOnConnection;

  KeptClient(Node node) {
    this.node = node;
  }

  int answersOnConnection() {
    return answersOnConnection;
  }

  /** Sends a request and waits for its answer. */
  Answer send(String head, byte[] body, int timeoutMillis) {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(new InetSocketAddress(node.ip, node.front), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
        answersOnConnection = 0;
      }
    } catch (IOException e) {
      close();
      return Answer.none(-2);
    }
    try {
      socket.setSoTimeout(timeoutMillis);
      byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
      System.arraycopy(body, 0, all, first.length, body.length);
      socket.getOutputStream().write(all);
      socket.getOutputStream().flush();
      Answer answer = read();
      if (answer.status() <= 0
          || !answer.whole()
          || "close".equalsIgnoreCase(answer.headers().get("connection"))) {
        close();
      } else {
        answersOnConnection++;
      }
      return answer;
    } catch (java.net.SocketTimeoutException e) {
      close();
      return Answer.none(-1);
    } catch (IOException e) {
      close();
      return Answer.none(0);
    }
  }

  private Answer read() throws IOException {
    String first = MiniHttp.line(in);
    if (first == null) {
      return Answer.none(0);
    }
    int status = Integer.parseInt(first.split(" ")[1]);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String text = MiniHttp.line(in); text != null && !text.isEmpty(); text = MiniHttp.line(in)) {
      int colon = text.indexOf(':');
      headers.put(
          text.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          text.substring(colon + 1).strip());
    }
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] body = in.readNBytes(length);
      return new Answer(status, headers, body, body.length == length);
    }
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    while (true) {
      String size = MiniHttp.line(in);
      if (size == null) {
        return new Answer(status, headers, body.toByteArray(), false);
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      byte[] chunk = in.readNBytes(length);
      body.write(chunk);
      if (chunk.length < length || MiniHttp.line(in) == null) {
        return new Answer(status, headers, body.toByteArray(), false);
      }
      if (length == 0) {
        return new Answer(status, headers, body.toByteArray(), true);
      }
    }
  }

  void close() {
    if (socket != null) {
      MiniHttp.drop(socket, false);
    }
    socket = null;
  }
}
