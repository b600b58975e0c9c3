package org.dragonflyhill.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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

  private static int firstByte(ServerSocket server) {
    try (Socket socket = server.accept()) {
      return socket.getInputStream().read();
    } catch (IOException e) {
      return -1;
    }
  }
}
