package org.dragonflyhill.peer;

import java.util.List;
import java.util.Optional;

/** Answers like a node at offset 7 with a given state. Thread-safe. */
final class FakeHandler implements PeerHandler {

  private final byte[] text;

  FakeHandler(int stateBytes) {
    text = new byte[stateBytes];
    for (int i = 0; i < stateBytes; i++) {
      text[i] = (byte) i;
    }
  }

  static PeerMessage.Heartbeat of(String node, long offset) {
    return new PeerMessage.Heartbeat(1, node, offset, offset, "d", List.of());
  }

  byte[] text() {
    return text;
  }

  @Override
  public PeerMessage.Heartbeat heartbeat(PeerMessage.Heartbeat received) {
    return of("listener", 7);
  }

  @Override
  public Optional<PeerState> stateAheadOf(long offset) {
    return offset < 7 ? Optional.of(new PeerState(1, 7, "d", text)) : Optional.empty();
  }

  @Override
  public PeerMessage.Outcome outcome(String organisation, String idempotencyKey) {
    return idempotencyKey.equals("k") ? PeerMessage.Outcome.RUNNING : PeerMessage.Outcome.UNKNOWN;
  }
}
