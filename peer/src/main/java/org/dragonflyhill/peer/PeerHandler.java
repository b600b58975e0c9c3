package org.dragonflyhill.peer;

import java.util.Optional;

/** Handles the requests of peers. Thread-safe; no argument or result is null. */
public interface PeerHandler {

  /** Records the heartbeat of a peer and returns the heartbeat of this node. */
  PeerMessage.Heartbeat handleHeartbeat(PeerMessage.Heartbeat received);

  /** Returns the configuration of this node, or empty if it has no records after an offset. */
  Optional<PeerState> stateAheadOf(long offset);

  /** Returns the outcome of a non-repeatable request as far as this node knows it. */
  PeerMessage.Outcome outcome(String organisation, String idempotencyKey);

  /**
   * Gives the outcome of non-repeatable requests as far as this node knows it. Thread-safe; no
   * argument or result is null.
   */
  @FunctionalInterface
  interface OutcomeSource {

    /** A source that knows no requests. */
    OutcomeSource NONE = (organisation, idempotencyKey) -> PeerMessage.Outcome.UNKNOWN;

    /** Returns the outcome of a request. */
    PeerMessage.Outcome outcome(String organisation, String idempotencyKey);
  }
}
