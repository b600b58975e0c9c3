package org.dragonflyhill.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and tracks the id of the last complete
 * one.
 *
 * <p>The bytes of an incomplete event are buffered, so that a stream that breaks off can be resumed
 * at another runner after the last complete event. Not thread-safe; no argument may be null.
 */
public final class EventStream {

  /** Maximum number of bytes of an incomplete event; a stream with a longer one is faulty. */
  public static final int MAX_EVENT_BYTES = 256 * 1_024;

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private final StringBuilder line = new StringBuilder();
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastId = Optional.empty();
  private boolean isLineEmpty = true;
  private boolean isInsideEvent;

  /** Appends received bytes and returns the bytes of all events that are complete now. */
  public byte[] append(byte[] bytes) {
    int completeLength = scan(bytes);
    if (completeLength == 0) {
      pending.write(bytes, 0, bytes.length);
      return new byte[0];
    }
    pending.write(bytes, 0, completeLength);
    byte[] complete = pending.toByteArray();
    pending.reset();
    pending.write(bytes, completeLength, bytes.length - completeLength);
    return complete;
  }

  /** Records received bytes that are relayed without waiting for the end of their event. */
  public void track(byte[] bytes) {
    scan(bytes);
  }

  /** Returns the number of bytes up to the end of the last event that ends within them. */
  private int scan(byte[] bytes) {
    int completeLength = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n') {
        if (isLineEmpty) {
          completeLength = i + 1;
          if (pendingId.isPresent()) {
            lastId = pendingId;
          }
          pendingId = Optional.empty();
        } else {
          parseField(line.toString());
        }
        line.setLength(0);
        isLineEmpty = true;
      } else if (b != '\r') {
        isLineEmpty = false;
        if (line.length() < 64) {
          line.append((char) (b & 0xFF));
        }
      }
    }
    if (bytes.length > 0) {
      isInsideEvent = completeLength < bytes.length;
    }
    return completeLength;
  }

  private void parseField(String text) {
    if (text.startsWith(ID_FIELD)) {
      pendingId = Optional.of(text.substring(ID_FIELD.length()).strip());
    }
  }

  /** Discards the bytes of an incomplete event before the stream is resumed at another runner. */
  public void dropPartial() {
    pending.reset();
    line.setLength(0);
    isLineEmpty = true;
    isInsideEvent = false;
    pendingId = Optional.empty();
  }

  /** Returns whether more bytes of an incomplete event are buffered than an event may have. */
  public boolean isEventTooLong() {
    return pending.size() > MAX_EVENT_BYTES;
  }

  /** Returns whether the bytes received so far end inside an event. */
  public boolean isInsideEvent() {
    return isInsideEvent;
  }

  /** Returns the id of the last complete event that has one. */
  public Optional<String> lastId() {
    return lastId;
  }
}
