import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server for stand-ins, with one virtual thread for each connection. */
final class MiniHttp {

  interface Handler {
    void handle(Request request, Exchange exchange) throws Exception;
  }

  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String path() {
      return target.split("\\?", 2)[0];
    }

    String query(String name) {
      String[] parts = target.split("\\?", 2);
      if (parts.length < 2) {
        return null;
      }
      for (String pair : parts[1].split("&")) {
        String[] both = pair.split("=", 2);
        if (both[0].equals(name)) {
          return java.net.URLDecoder.decode(both.length < 2 ? "" : both[1], StandardCharsets.UTF_8);
        }
      }
      return null;
    }
  }

  /** The connection on which a request is answered. */
  static final class Exchange {
    final Socket socket;
    final OutputStream out;
    boolean close;

    Exchange(Socket socket) throws IOException {
      this.socket = socket;
      out = socket.getOutputStream();
    }

    void reply(int status, Map<String, String> headers, byte[] body) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      raw(all.toByteArray());
    }

    void raw(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Returns whether the other side has closed the connection; blocks for up to a time. */
    boolean isClosedWithin(int millis) {
      try {
        socket.setSoTimeout(Math.max(1, millis));
        return socket.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }
  }

  private final String host;
  private final int port;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  MiniHttp(String host, int port, Handler handler) {
    this.host = host;
    this.port = port;
    this.handler = handler;
  }

  void start() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
    server = socket;
    Thread.ofVirtual().start(() -> accept(socket));
  }

  /** Stops listening and resets or closes all connections. */
  void stop(boolean reset) {
    try {
      server.close();
    } catch (IOException e) {
      // It is closed.
    }
    for (Socket socket : connections) {
      drop(socket, reset);
    }
    connections.clear();
  }

  static void drop(Socket socket, boolean reset) {
    try {
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
      Request request = read(in);
      while (request != null) {
        Exchange exchange = new Exchange(connection);
        handler.handle(request, exchange);
        if (exchange.close || connection.isClosed()) {
          return;
        }
        connection.setSoTimeout(0);
        request = read(in);
      }
    } catch (Exception e) {
      // The connection ends.
    } finally {
      connections.remove(connection);
    }
  }

  static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    String[] words = first.split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      headers.put(
          text.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          text.substring(colon + 1).strip());
    }
    byte[] body = new byte[0];
    if (headers.containsKey("content-length")) {
      body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
    }
    return new Request(words[0], words[1], headers, body);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        text.write(next);
      }
      next = in.read();
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }
}
