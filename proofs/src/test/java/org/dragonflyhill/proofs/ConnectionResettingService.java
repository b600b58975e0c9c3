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

/**
 * Stand-in for a service that resets every connection at a given point and reports the requests
 * that it has read completely.
 */
final class ConnectionResettingService implements AutoCloseable {

  private static final Pattern ORDER = Pattern.compile("\"order\":\"([^\"]+)\"}");
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)request-id: (\\S+)");

  private final ServerSocket server;
  private final ResetPoint resetPoint;
  private final BiConsumer<String, String> onRequest;

  /**
   * Starts to listen on a free port of the loopback interface.
   *
   * @param resetPoint when each connection is reset
   * @param onRequest receives the order and the request id of each request that was read completely
   */
  ConnectionResettingService(ResetPoint resetPoint, BiConsumer<String, String> onRequest) {
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
        // With a linger time of 0, close sends RST instead of FIN.
        socket.setSoLinger(true, 0);
        serve(socket);
      } catch (SocketException e) {
        // The server socket was closed, or the client closed its connection first.
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void serve(Socket socket) throws IOException {
    if (resetPoint == ResetPoint.DURING_REQUEST) {
      socket.getInputStream().read();
    }
    if (resetPoint == ResetPoint.AFTER_REQUEST) {
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

  /** Point of a request at which its connection is reset. */
  enum ResetPoint {
    ON_ACCEPT,
    DURING_REQUEST,
    AFTER_REQUEST
  }
}
