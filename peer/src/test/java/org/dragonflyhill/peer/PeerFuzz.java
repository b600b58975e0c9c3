package org.dragonflyhill.peer;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Sends random, truncated, oversized and unauthenticated frames to a server, and checks after each
 * round that the server still serves a valid connection.
 */
final class PeerFuzz implements AutoCloseable {

  private static final int MAX_RANDOM_BYTES = 4_096;
  private static final int READ_TIMEOUT_MILLIS = 200;
  private static final Duration AWAIT_LIMIT = Duration.ofSeconds(20);
  private static final byte[] SECRET = "right".getBytes(StandardCharsets.UTF_8);
  private static final PeerMessage.Heartbeat HEARTBEAT = FakeHandler.heartbeatOf("caller", 3);

  private final Random random;
  private final PeerTraffic traffic = new PeerTraffic();
  private final PeerServer server =
      new PeerServer(
          "127.0.0.1", 0, "listener", new PeerSecret(SECRET), new FakeHandler(1_000), traffic);
  private final PeerClient client =
      new PeerClient("caller", new PeerSecret(SECRET), new PeerTraffic(), Duration.ofSeconds(5));

  PeerFuzz(long seed) {
    random = new Random(seed);
  }

  /** Sends invalid input, then checks that a valid call succeeds. */
  void round() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      try {
        socket.getOutputStream().write(invalidInput());
        socket.getOutputStream().flush();
        if (random.nextInt(8) == 0) {
          readSome(socket);
        }
      } catch (IOException closedByServer) {
        // The server may close the connection before the input is written completely.
      }
    }
    checkValidCall();
  }

  /** Fails unless a valid call gets a reply. */
  void checkValidCall() {
    var reply = client.exchangeHeartbeats("127.0.0.1:" + server.port(), HEARTBEAT).block();
    if (reply.isLeft()) {
      throw new AssertionError(reply.getLeft().detail());
    }
  }

  Socket connect() throws IOException {
    return new Socket("127.0.0.1", server.port());
  }

  /** Waits until the server has refused at least the given number of connections. */
  void awaitRefused(long count) throws InterruptedException {
    awaitConnections(open -> refusedConnections() >= count);
  }

  /** Waits until the number of open connections satisfies a condition. */
  void awaitConnections(IntPredicate condition) throws InterruptedException {
    long end = System.nanoTime() + AWAIT_LIMIT.toNanos();
    while (!condition.test(server.connectionCount())) {
      if (System.nanoTime() > end) {
        throw new AssertionError(server.connectionCount() + " connections are open");
      }
      Thread.sleep(10);
    }
  }

  long refusedConnections() {
    return traffic.refusedConnections();
  }

  int connectionCount() {
    return server.connectionCount();
  }

  @Override
  public void close() {
    server.close();
  }

  private static void readSome(Socket socket) throws IOException {
    try {
      socket.getInputStream().read(new byte[MAX_RANDOM_BYTES]);
    } catch (SocketTimeoutException noReply) {
      // The server sends nothing while it waits for the rest of a frame.
    }
  }

  private byte[] invalidInput() {
    return switch (random.nextInt(6)) {
      case 0 -> randomBytes();
      case 1 -> framed(randomBytes(), 0);
      case 2 -> framed(randomBytes(), random.nextInt(1, MAX_RANDOM_BYTES));
      case 3 -> ByteBuffer.allocate(8).putInt(random.nextInt()).putInt(random.nextInt()).array();
      case 4 -> truncated(PeerCodec.encode(message()));
      default -> withFlippedBit(PeerCodec.encode(message()));
    };
  }

  private PeerMessage message() {
    List<PeerMessage> messages =
        List.of(
            HEARTBEAT,
            new PeerMessage.StateRequest(1, -1),
            new PeerMessage.OutcomeRequest(1, "granja", "k"),
            new PeerMessage.Proof(1, "caller", randomBytes(), randomBytes()),
            new PeerMessage.Confirmation(1, randomBytes()));
    return messages.get(random.nextInt(messages.size()));
  }

  private byte[] randomBytes() {
    byte[] bytes = new byte[random.nextInt(MAX_RANDOM_BYTES)];
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] framed(byte[] body, int missingBytes) {
    return ByteBuffer.allocate(Integer.BYTES + body.length)
        .putInt(body.length + missingBytes)
        .put(body)
        .array();
  }

  private byte[] truncated(byte[] frame) {
    return Arrays.copyOf(frame, random.nextInt(frame.length));
  }

  private byte[] withFlippedBit(byte[] frame) {
    frame[random.nextInt(frame.length)] ^= (byte) (1 << random.nextInt(8));
    return frame;
  }
}
