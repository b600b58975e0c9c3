package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.ForwardTargets;

/**
 * Connections to the peers that serve requests while this node reaches no runner. They speak the
 * protocol of callers on a port between nodes, and a peer never forwards such a request again.
 */
final class PeerForwarder {

  private final RelayState state;
  private final RunnerConnectionPool connections;
  private final ForwardTargets targets;
  private Optional<PeerGossip> gossip = Optional.empty();

  PeerForwarder(EventLoop loop, Executor steps, HeaderCodec headerCodec, RelayState state) {
    this.state = state;
    targets = state.forwardTargets();
    connections =
        new RunnerConnectionPool(
            loop,
            steps,
            headerCodec,
            state.log(),
            state::now,
            (endpoint, isConnected) -> {},
            state.traffic().counter(LinkTraffic.Purpose.FORWARDED));
  }

  void usePeers(PeerGossip peers) {
    gossip = Optional.of(peers);
  }

  /** Returns the peer for a request to a service, empty if none reaches its runners. */
  Optional<Target> choose(String service, String requestId, Set<String> tried) {
    return gossip.flatMap(
        peers ->
            targets
                .choose(service, requestId, peers.live(), tried, state.now())
                .flatMap(name -> peers.endpoint(name).map(at -> new Target(name, at))));
  }

  RunnerConnectionPool connections() {
    return connections;
  }

  ForwardTargets targets() {
    return targets;
  }

  /**
   * A peer that serves a request.
   *
   * @param node its name
   * @param endpoint where it accepts requests of other nodes
   */
  record Target(String node, Endpoint endpoint) {}
}
