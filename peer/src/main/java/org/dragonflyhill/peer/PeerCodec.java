package org.dragonflyhill.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Turns messages into frames and back. A frame is its length in four bytes, then MessagePack.
 *
 * <pre>{@code
 * byte[] frame = PeerCodec.frame(heartbeat);
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
final class PeerCodec {

  /** Most bytes in a frame, without its length. */
  static final int MAX_FRAME_BYTES = 64 * 1_024;

  private static final int LENGTH_BYTES = 4;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(new MessagePackFactory())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private PeerCodec() {}

  /** Returns a handler that cuts a connection's bytes into frames and refuses longer ones. */
  static LengthFieldBasedFrameDecoder frameDecoder() {
    return new LengthFieldBasedFrameDecoder(
        MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /**
   * Returns the frame of a message, with its length.
   *
   * @throws IllegalArgumentException if it is longer than a frame may be
   */
  static byte[] encode(PeerMessage message) {
    byte[] body = encodeBody(message);
    if (body.length > MAX_FRAME_BYTES) {
      throw new IllegalArgumentException(
          message.getClass().getSimpleName() + " of " + body.length + " bytes");
    }
    return ByteBuffer.allocate(LENGTH_BYTES + body.length).putInt(body.length).put(body).array();
  }

  /** Returns the message in a frame, empty where its type is unknown, or what is wrong. */
  static Either<String, Optional<PeerMessage>> decode(byte[] body) {
    try {
      return Either.right(Optional.of(MAPPER.readValue(body, PeerMessage.class)));
    } catch (InvalidTypeIdException e) {
      // A newer program may send types that this one does not know.
      return e.getTypeId() == null ? Either.left("no type") : Either.right(Optional.empty());
    } catch (IOException | RuntimeException e) {
      // The parser of MessagePack throws unchecked exceptions on damaged input.
      return Either.left(e.getClass().getSimpleName());
    }
  }

  private static byte[] encodeBody(PeerMessage message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no form of " + message.getClass().getName(), e);
    }
  }
}
