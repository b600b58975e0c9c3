package org.dragonflyhill.peer;

import java.util.List;
import java.util.Optional;

/** Replies like a node at offset 7 whose state has a given size in bytes. Thread-safe. */
final class FakeHandler implements PeerHandler {

  private final byte[] content;

  FakeHandler(int stateBytes) {
    content = new byte[stateBytes];
    for (int i = 0; i < stateBytes; i++) {
      content[i] = (byte) i;
    }
  }

  static PeerMessage.Heartbeat heartbeatOf(String node, long offset) {
    return new PeerMessage.Heartbeat(1, node, offset, offset, "d", List.of());
  }

  byte[] content() {
    return content;
  }

  @Override
  public PeerMessage.Heartbeat handleHeartbeat(PeerMessage.Heartbeat received) {
    return heartbeatOf("listener", 7);
  }

  @Override
  public Optional<PeerState> stateAheadOf(long offset) {
    return offset < 7 ? Optional.of(new PeerState(1, 7, "d", content)) : Optional.empty();
  }

  @Override
  public PeerMessage.Outcome outcome(String organisation, String idempotencyKey) {
    return idempotencyKey.equals("k") ? PeerMessage.Outcome.RUNNING : PeerMessage.Outcome.UNKNOWN;
  }
}
