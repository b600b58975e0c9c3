package org.dragonflyhill.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and tracks the id of the last complete
 * one.
 *
 * <p>The bytes of an incomplete event are buffered, so that a stream that breaks off can be resumed
 * at another runner after the last complete event. They count in a budget that all streams of the
 * node share. Not thread-safe; no argument may be null.
 */
public final class EventStream {

  /** Maximum number of bytes of an incomplete event; a stream with a longer one is faulty. */
  public static final int MAX_EVENT_BYTES = 256 * 1_024;

  private static final String ID_FIELD = "id:";

  /** Number of bytes of an incomplete event that are accepted even if the budget is used up. */
  public static final int MAX_SMALL_EVENT_BYTES = 8 * 1_024;

  private final ByteBudget.Share buffered;
  private ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private boolean isBudgetKept = true;
  private final StringBuilder line = new StringBuilder();
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastId = Optional.empty();
  private boolean isLineEmpty = true;
  private boolean isInsideEvent;

  /**
   * Creates a stream without events.
   *
   * @param buffered share of the budget in which the bytes of an incomplete event count
   */
  public EventStream(ByteBudget.Share buffered) {
    this.buffered = buffered;
  }

  /** Appends received bytes and returns the bytes of all events that are complete now. */
  public byte[] append(byte[] bytes) {
    int completeLength = scan(bytes);
    if (completeLength == 0) {
      addPending(bytes, 0, bytes.length);
      return new byte[0];
    }
    pending.write(bytes, 0, completeLength);
    byte[] complete = pending.toByteArray();
    clearPending();
    addPending(bytes, completeLength, bytes.length - completeLength);
    return complete;
  }

  private void addPending(byte[] bytes, int from, int count) {
    pending.write(bytes, from, count);
    isBudgetKept = buffered.add(count);
  }

  private void clearPending() {
    if (pending.size() > MAX_SMALL_EVENT_BYTES) {
      // The stream must not keep the array of a long event.
      pending = new ByteArrayOutputStream();
    }
    pending.reset();
    buffered.release();
    isBudgetKept = true;
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
    clearPending();
    line.setLength(0);
    isLineEmpty = true;
    isInsideEvent = false;
    pendingId = Optional.empty();
  }

  /**
   * Returns why the incomplete event must not grow any more, empty if it may: it is too long, or it
   * is long and the incomplete events of all streams together use up their budget.
   */
  public Optional<String> lengthError() {
    int size = pending.size();
    if (size > MAX_EVENT_BYTES) {
      return Optional.of("event longer than " + MAX_EVENT_BYTES + " bytes");
    }
    return size > MAX_SMALL_EVENT_BYTES && !isBudgetKept
        ? Optional.of("event of " + size + " bytes while those of all streams hold too many")
        : Optional.empty();
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
