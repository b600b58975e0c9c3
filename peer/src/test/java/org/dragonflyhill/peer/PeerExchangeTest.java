package org.dragonflyhill.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PeerServer} and {@link PeerClient} together. */
public final class PeerExchangeTest {

  private static final int STATE_BYTES = 300_000;
  private static final int MAC_BYTES = 32;

  private final FakeHandler handler = new FakeHandler(STATE_BYTES);
  private final PeerTraffic traffic = new PeerTraffic();
  private PeerServer server;
  private String address;

  /** Starts the server. */
  @BeforeMethod
  public void start() {
    server = new PeerServer("127.0.0.1", 0, "listener", secret("right"), handler, traffic);
    address = "127.0.0.1:" + server.port();
  }

  /** Stops the server. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
  }

  private static PeerSecret secret(String text) {
    return new PeerSecret(text.getBytes(StandardCharsets.UTF_8));
  }

  private static PeerClient client(String secret) {
    return new PeerClient("caller", secret(secret), new PeerTraffic(), Duration.ofSeconds(5));
  }

  @Test
  public void exchangesHeartbeats() {
    var reply =
        client("right").exchangeHeartbeats(address, FakeHandler.heartbeatOf("caller", 3)).block();
    assertEquals(reply.get(), FakeHandler.heartbeatOf("listener", 7));
  }

  @Test
  public void fetchesStateLargerThanFrame() {
    PeerState state = client("right").fetchStateAheadOf(address, 3).block().get().orElseThrow();
    assertEquals(state.throughOffset(), 7);
    assertEquals(state.content(), handler.content());
  }

  @Test
  public void fetchesNoStateWhenPeerIsNotAhead() {
    assertTrue(client("right").fetchStateAheadOf(address, 7).block().get().isEmpty());
  }

  @Test
  public void fetchesOutcomeOfRequest() {
    var reply = client("right").fetchOutcome(address, "granja", "k").block();
    assertEquals(reply.get(), PeerMessage.Outcome.RUNNING);
  }

  @Test
  public void refusesCallerWithWrongSecret() {
    var reply =
        client("wrong").exchangeHeartbeats(address, FakeHandler.heartbeatOf("caller", 3)).block();
    assertTrue(reply.isLeft());
    assertEquals(traffic.refusedConnections(), 1);
  }

  /**
   * Guards against a client that trusts any server: the server here does not know the secret and
   * sends a confirmation with a MAC of zeros.
   */
  @Test
  public void rejectsServerWithoutTheSecret() throws Exception {
    try (ServerSocket fakeServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> serveInvalidConfirmation(fakeServer));
      var reply =
          client("right")
              .exchangeHeartbeats(
                  "127.0.0.1:" + fakeServer.getLocalPort(), FakeHandler.heartbeatOf("caller", 3))
              .block();
      assertTrue(reply.getLeft() instanceof PeerError.NotAuthenticated, reply.toString());
    }
  }

  private static void serveInvalidConfirmation(ServerSocket fakeServer) {
    byte[] challenge =
        PeerCodec.encode(new PeerMessage.Challenge(1, "listener", new byte[MAC_BYTES]));
    byte[] confirmation = PeerCodec.encode(new PeerMessage.Confirmation(1, new byte[MAC_BYTES]));
    try (Socket socket = fakeServer.accept()) {
      socket.getOutputStream().write(challenge);
      socket.getInputStream().read(new byte[STATE_BYTES]);
      socket.getOutputStream().write(confirmation);
      socket.getInputStream().read(new byte[STATE_BYTES]);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  public void reportsUnreachableWhenNoServerListens() {
    server.close();
    var reply =
        client("right").exchangeHeartbeats(address, FakeHandler.heartbeatOf("caller", 3)).block();
    assertTrue(reply.getLeft() instanceof PeerError.Unreachable, reply.toString());
  }
}
