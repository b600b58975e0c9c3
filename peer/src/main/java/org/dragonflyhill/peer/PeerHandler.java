package org.dragonflyhill.peer;

import java.util.Optional;

/** What a node answers to its peers. Thread-safe; nothing is null. */
public interface PeerHandler {

  /** Takes note of a peer's heartbeat and returns the own one. */
  PeerMessage.Heartbeat handleHeartbeat(PeerMessage.Heartbeat received);

  /** Returns the own configuration if it goes beyond an offset. */
  Optional<PeerState> stateAheadOf(long offset);

  /** Returns what this node knows of a non-repeatable request. */
  PeerMessage.Outcome outcome(String organisation, String idempotencyKey);

  /** Tells what a node knows of a non-repeatable request. Thread-safe; nothing is null. */
  @FunctionalInterface
  interface OutcomeSource {

    /** A source that knows nothing. */
    OutcomeSource NONE = (organisation, idempotencyKey) -> PeerMessage.Outcome.UNKNOWN;

    /** Returns what became of a request. */
    PeerMessage.Outcome outcome(String organisation, String idempotencyKey);
  }
}
