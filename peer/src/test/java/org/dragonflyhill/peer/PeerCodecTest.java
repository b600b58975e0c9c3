package org.dragonflyhill.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.Test;

/** Tests of {@link PeerCodec}. */
public final class PeerCodecTest {

  private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());

  private static byte[] encodeBody(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    return Arrays.copyOfRange(frame, Integer.BYTES, frame.length);
  }

  @Test
  public void decodesEncodedMessage() {
    var report = new PeerMessage.NodeReport("node-b", 4, 3, 20);
    var heartbeat = new PeerMessage.Heartbeat(1, "node-a", 5, 4, "digest", List.of(report));
    assertEquals(PeerCodec.decode(encodeBody(heartbeat)).get(), Optional.of(heartbeat));
  }

  @Test
  public void ignoresFieldsOfNewerVersion() throws Exception {
    byte[] body =
        mapper.writeValueAsBytes(
            Map.of("type", "state_request", "schema", 2, "ahead_of", 4, "region", "sk"));
    var expected = new PeerMessage.StateRequest(2, 4);
    assertEquals(PeerCodec.decode(body).get(), Optional.of(expected));
  }

  @Test
  public void skipsTypeOfNewerVersion() throws Exception {
    byte[] body = mapper.writeValueAsBytes(Map.of("type", "quota", "schema", 2));
    assertEquals(PeerCodec.decode(body).get(), Optional.empty());
  }

  /**
   * Guards against allocating the length that a corrupt message declares: here a MessagePack binary
   * value of almost 2 GiB in a body of 9 bytes.
   */
  @Test
  public void rejectsLengthBeyondFrameWithoutAllocatingIt() {
    byte[] body = {(byte) 0x81, (byte) 0xa1, 'x', (byte) 0xc6, 0x7f, -1, -1, -1, 0};
    long before = Runtime.getRuntime().totalMemory();
    assertTrue(PeerCodec.decode(body).isLeft());
    assertTrue(Runtime.getRuntime().totalMemory() - before < Integer.MAX_VALUE / 2);
  }
}
