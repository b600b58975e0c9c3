package org.dragonflyhill.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link PeerServer} and {@link PeerCodec} with invalid input. */
public final class PeerFuzzTest {

  private static final int ROUNDS = 400;
  private static final int CODEC_ROUNDS = 50_000;
  private static final int CONNECTIONS_OVER_LIMIT = 20;
  private static final long SEED = 1;

  @Test
  public void servesValidConnectionAfterEachInvalidOne() throws IOException {
    try (PeerFuzz fuzz = new PeerFuzz(SEED)) {
      for (int round = 0; round < ROUNDS; round++) {
        fuzz.round();
      }
      assertTrue(fuzz.connectionCount() <= PeerServer.MAX_CONNECTIONS);
    }
  }

  @Test
  public void decodesNoMessageFromRandomBytes() {
    Random random = new Random(SEED);
    int decoded = 0;
    for (int round = 0; round < CODEC_ROUNDS; round++) {
      byte[] bytes = new byte[random.nextInt(64)];
      random.nextBytes(bytes);
      decoded += PeerCodec.decode(bytes).getOrElse(Optional.empty()).isPresent() ? 1 : 0;
    }
    assertEquals(decoded, 0);
  }

  @Test
  public void limitsIdleConnectionsAndServesAgainAfterwards() throws Exception {
    try (PeerFuzz fuzz = new PeerFuzz(SEED)) {
      List<Socket> idle = new ArrayList<>();
      for (int i = 0; i < PeerServer.MAX_CONNECTIONS + CONNECTIONS_OVER_LIMIT; i++) {
        idle.add(fuzz.connect());
      }
      fuzz.awaitConnections(count -> count == PeerServer.MAX_CONNECTIONS);
      fuzz.awaitRefused(CONNECTIONS_OVER_LIMIT);
      // The sockets stay open here: the server has to close connections that do not authenticate.
      fuzz.awaitConnections(count -> count == 0);
      fuzz.checkValidCall();
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }
}
