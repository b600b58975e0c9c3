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

/** Tests of {@link PeerServer} against bad input. */
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
    int messages = 0;
    for (int round = 0; round < CODEC_ROUNDS; round++) {
      byte[] bytes = new byte[random.nextInt(64)];
      random.nextBytes(bytes);
      messages += PeerCodec.decode(bytes).getOrElse(Optional.empty()).isPresent() ? 1 : 0;
    }
    assertEquals(messages, 0);
  }

  @Test
  public void limitsIdleConnectionsAndServesAgainAfterwards() throws Exception {
    try (PeerFuzz fuzz = new PeerFuzz(SEED)) {
      List<Socket> silent = new ArrayList<>();
      for (int i = 0; i < PeerServer.MAX_CONNECTIONS + CONNECTIONS_OVER_LIMIT; i++) {
        silent.add(fuzz.connect());
      }
      fuzz.awaitConnections(count -> count == PeerServer.MAX_CONNECTIONS);
      fuzz.awaitRefused(CONNECTIONS_OVER_LIMIT);
      // Nobody closes them: the server drops those that do not authenticate.
      fuzz.awaitConnections(count -> count == 0);
      fuzz.checkValidCall();
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }
}
