import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback addresses, with control over each byte. */
final class Http {

  private Http() {}

  /** A request or a response; {@code start} is its first line. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    String path() {
      return target().split("\\?", 2)[0];
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String query(String name, String otherwise) {
      String[] parts = target().split("\\?", 2);
      if (parts.length == 2) {
        for (String pair : parts[1].split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return otherwise;
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles the requests of one connection. */
  interface Handler {
    void handle(Message request, Connection connection) throws IOException, InterruptedException;
  }

  /** Server side of a connection. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    private volatile boolean isSilent;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream(), 65_536);
      out = socket.getOutputStream();
    }

    void write(String text) throws IOException {
      if (isSilent) {
        return;
      }
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void respond(int status, String headers, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      String head = "HTTP/1.1 " + status + " X\r\n" + headers;
      head += "Content-Length: " + body.length + "\r\n\r\n";
      all.write(head.getBytes(StandardCharsets.UTF_8));
      all.write(body);
      if (isSilent) {
        return;
      }
      out.write(all.toByteArray());
      out.flush();
    }

    void respond(int status, String headers, String body) throws IOException {
      respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      write(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    /** Ends the connection with a reset, as a process that crashes with unread bytes does. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  /** A server that can be stopped, which resets its connections, and started again. */
  static final class Server {
    private final Handler handler;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private int port;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      start();
    }

    int port() {
      return port;
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized void start() throws IOException {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
      port = listener.getLocalPort();
      ServerSocket accepting = listener;
      Thread.startVirtualThread(
          () -> {
            while (!accepting.isClosed()) {
              try {
                Socket socket = accepting.accept();
                Thread.startVirtualThread(() -> serve(socket));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    synchronized void stop() throws IOException {
      listener.close();
      connections.forEach(Connection::reset);
    }

    /** Lets the open connections go silent for good, without a reset, while new ones work. */
    void silenceOpenConnections() {
      connections.forEach(connection -> connection.isSilent = true);
    }

    private void serve(Socket socket) {
      Connection connection = null;
      try {
        connection = new Connection(socket);
        connections.add(connection);
        for (Message m = read(connection.in); m != null; m = read(connection.in)) {
          if (!connection.isSilent) {
            handler.handle(m, connection);
          }
        }
      } catch (IOException | InterruptedException e) {
        // The other side closed the connection.
      } finally {
        if (connection != null) {
          connections.remove(connection);
        }
        try {
          socket.close();
        } catch (IOException e) {
          // It is closed already.
        }
      }
    }
  }

  /** Reads a message whose body has a length or chunks; returns null at the end of the input. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.merge(
          l.substring(0, colon).strip(), l.substring(colon + 1).strip(), (a, b) -> a + ", " + b);
    }
    byte[] body = new byte[0];
    if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int n = chunkSize(in); n > 0; n = chunkSize(in)) {
        all.write(in.readNBytes(n));
        line(in);
      }
      line(in);
      body = all.toByteArray();
    } else if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(headers.get("Content-Length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("body cut off");
      }
    }
    return new Message(start, headers, body);
  }

  private static int chunkSize(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new IOException("body cut off");
    }
    return Integer.parseInt(size.split(";")[0].strip(), 16);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String line = text.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
      }
      text.write(b);
    }
    return null;
  }

  /** Sends one request on a connection of its own and returns the response. */
  static Message call(int port, String head, byte[] body, int timeoutMillis) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new java.net.InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().write(body);
      socket.getOutputStream().flush();
      Message response = read(new BufferedInputStream(socket.getInputStream()));
      if (response == null) {
        throw new IOException("closed without an answer");
      }
      return response;
    }
  }
}
