package org.dragonflyhill.ports;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HttpCaller}. */
public final class HttpCallerTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  @Test
  public void sendsNoByteIfItMayNotStart() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        HttpCaller caller = HttpCaller.withoutPool(TIMEOUT)) {
      var received = CompletableFuture.supplyAsync(() -> firstByte(server));
      String address = "127.0.0.1:" + server.getLocalPort();
      var answer =
          caller.callOnce(address, "/x", List.of(), "{}", TIMEOUT, () -> false).block(TIMEOUT);
      assertTrue(answer.getLeft() instanceof PlatformError.NotSent, answer.toString());
      assertEquals(received.join().intValue(), -1);
    }
  }

  /**
   * Size of a body that does not fit into the buffers of a connection whose server reads little.
   */
  private static final int LARGE_BODY_BYTES = 6 * 1_024 * 1_024;

  /** A body that is written at once, and one that is not. */
  @DataProvider
  public Object[][] requestBodies() {
    return new Object[][] {{"{}"}, {"\"" + "b".repeat(LARGE_BODY_BYTES) + "\""}};
  }

  /**
   * A response without a length or chunks whose connection is reset is not complete, also if the
   * request is still being written.
   */
  @Test(dataProvider = "requestBodies")
  public void resetResponseIsNotComplete(String requestBody) throws IOException {
    try (ServerSocket server = new ServerSocket();
        HttpCaller caller = HttpCaller.withoutPool(TIMEOUT)) {
      server.setReceiveBufferSize(4_096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CompletableFuture.runAsync(() -> respondAndReset(server));
      var answer =
          caller
              .callOnce(
                  "127.0.0.1:" + server.getLocalPort(),
                  "/x",
                  List.of(),
                  requestBody,
                  TIMEOUT,
                  () -> true)
              .block(TIMEOUT);
      assertTrue(answer.isLeft(), answer.toString());
      assertTrue(answer.getLeft() instanceof PlatformError.Lost, answer.toString());
    }
  }

  private static void respondAndReset(ServerSocket server) {
    try (Socket socket = server.accept()) {
      socket.getInputStream().read(new byte[1_024]);
      socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(US_ASCII));
      socket.getOutputStream().flush();
      Thread.sleep(100);
      socket.setSoLinger(true, 0);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int firstByte(ServerSocket server) {
    try (Socket socket = server.accept()) {
      return socket.getInputStream().read();
    } catch (IOException e) {
      return -1;
    }
  }
}
