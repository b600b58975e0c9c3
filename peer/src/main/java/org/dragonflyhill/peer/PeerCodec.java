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
 * Encodes messages as frames and decodes them. A frame is the length of its body in four bytes,
 * followed by the body, which is MessagePack.
 *
 * <pre>{@code
 * byte[] frame = PeerCodec.encode(heartbeat);
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
final class PeerCodec {

  /** Maximum length of the body of a frame, without the length field. */
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

  /**
   * Returns a handler that splits the bytes of a connection into the bodies of frames and rejects
   * frames that are too long.
   */
  static LengthFieldBasedFrameDecoder frameDecoder() {
    return new LengthFieldBasedFrameDecoder(
        MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  /**
   * Returns the frame of a message, including the length field.
   *
   * @throws IllegalArgumentException if the body exceeds {@link #MAX_FRAME_BYTES}
   */
  static byte[] encode(PeerMessage message) {
    byte[] body = encodeBody(message);
    if (body.length > MAX_FRAME_BYTES) {
      throw new IllegalArgumentException(
          message.getClass().getSimpleName()
              + " of "
              + body.length
              + " bytes exceeds the maximum length of a frame");
    }
    return ByteBuffer.allocate(LENGTH_BYTES + body.length).putInt(body.length).put(body).array();
  }

  /**
   * Decodes the body of a frame.
   *
   * @return the message, or empty if its type is unknown; or a description of the error
   */
  static Either<String, Optional<PeerMessage>> decode(byte[] body) {
    try {
      return Either.right(Optional.of(MAPPER.readValue(body, PeerMessage.class)));
    } catch (InvalidTypeIdException e) {
      // A node of a newer version may send types that this version does not know.
      return e.getTypeId() == null
          ? Either.left("message type is missing")
          : Either.right(Optional.empty());
    } catch (IOException | RuntimeException e) {
      // The MessagePack parser throws unchecked exceptions on corrupt input.
      return Either.left(e.getClass().getSimpleName());
    }
  }

  private static byte[] encodeBody(PeerMessage message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialize " + message.getClass().getName(), e);
    }
  }
}
