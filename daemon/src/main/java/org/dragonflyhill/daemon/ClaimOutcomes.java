package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.peer.PeerHandler;
import org.dragonflyhill.peer.PeerMessage;

/**
 * Answers other nodes' questions about the outcome of a non-repeatable request.
 *
 * <p>A request without a claim is reported as unknown and not as undispatched, because this node
 * may not have read the latest claims. Thread-safe; no argument may be null.
 */
final class ClaimOutcomes implements PeerHandler.OutcomeSource {

  private final ClaimController claims;
  private final InstantSource clock;

  ClaimOutcomes(ClaimController claims, InstantSource clock) {
    this.claims = claims;
    this.clock = clock;
  }

  @Override
  public PeerMessage.Outcome outcome(String organisation, String idempotencyKey) {
    Optional<ClaimTable.Entry> entry =
        claims.entry(new ClaimEvent.RequestKey(organisation, idempotencyKey));
    return entry.map(this::outcome).orElse(PeerMessage.Outcome.UNKNOWN);
  }

  private PeerMessage.Outcome outcome(ClaimTable.Entry entry) {
    if (entry.outcome().isPresent()) {
      return PeerMessage.Outcome.SETTLED;
    }
    return claims.progress(entry, clock.instant()) == ClaimController.Progress.RUNS_HERE
        ? PeerMessage.Outcome.RUNNING
        : PeerMessage.Outcome.UNKNOWN;
  }
}
