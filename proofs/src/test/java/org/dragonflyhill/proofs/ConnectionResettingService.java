package org.dragonflyhill.proofs;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A service that resets each connection at a chosen moment and notes what it had read whole. */
final class ConnectionResettingService implements AutoCloseable {

  private static final Pattern ORDER = Pattern.compile("\"order\":\"([^\"]+)\"}");
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)request-id: (\\S+)");

  private final ServerSocket server;
  private final When resetPoint;
  private final BiConsumer<String, String> onRequest;

  /** Starts to listen; each whole request is handed on as order and request id. */
  ConnectionResettingService(When resetPoint, BiConsumer<String, String> onRequest) {
    this.resetPoint = resetPoint;
    this.onRequest = onRequest;
    try {
      server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread.ofPlatform().daemon().start(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        // Closing with a linger of 0 sends a reset.
        socket.setSoLinger(true, 0);
        serve(socket);
      } catch (SocketException e) {
        // The server was closed, or the caller went away first.
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void serve(Socket socket) throws IOException {
    if (resetPoint == When.DURING_REQUEST) {
      socket.getInputStream().read();
    }
    if (resetPoint == When.AFTER_REQUEST) {
      readRequest(socket.getInputStream());
    }
  }

  private void readRequest(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] block = new byte[4_096];
    while (!ORDER.matcher(text).find()) {
      int count = in.read(block);
      if (count < 0) {
        return;
      }
      text.append(new String(block, 0, count, StandardCharsets.UTF_8));
    }
    Matcher order = ORDER.matcher(text);
    Matcher requestId = REQUEST_ID.matcher(text);
    if (order.find() && requestId.find()) {
      onRequest.accept(order.group(1), requestId.group(1));
    }
  }

  /** When the connection is reset. */
  enum When {
    ON_ACCEPT,
    DURING_REQUEST,
    AFTER_REQUEST
  }
}
