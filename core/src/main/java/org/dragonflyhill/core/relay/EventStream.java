package org.dragonflyhill.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at event ends and notes the id of the last whole event.
 *
 * <p>Bytes of an event that is not whole yet are held back, so that a stream can go on at another
 * runner after the last whole one. Not thread-safe; no argument may be null.
 */
public final class EventStream {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private final StringBuilder line = new StringBuilder();
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastId = Optional.empty();
  private boolean isLineEmpty = true;

  /** Takes bytes and returns those of the events that are whole now. */
  public byte[] append(byte[] bytes) {
    int whole = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n') {
        if (isLineEmpty) {
          whole = i + 1;
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
    if (whole == 0) {
      pending.write(bytes, 0, bytes.length);
      return new byte[0];
    }
    pending.write(bytes, 0, whole);
    byte[] complete = pending.toByteArray();
    pending.reset();
    pending.write(bytes, whole, bytes.length - whole);
    return complete;
  }

  private void parseField(String text) {
    if (text.startsWith(ID_FIELD)) {
      pendingId = Optional.of(text.substring(ID_FIELD.length()).strip());
    }
  }

  /** Drops the bytes of an event that is not whole, before the stream goes on elsewhere. */
  public void dropPartial() {
    pending.reset();
    line.setLength(0);
    isLineEmpty = true;
    pendingId = Optional.empty();
  }

  /** Returns whether bytes of an event that is not whole are held back. */
  public boolean hasPartial() {
    return pending.size() > 0;
  }

  /** Returns the id of the last whole event. */
  public Optional<String> lastId() {
    return lastId;
  }
}
