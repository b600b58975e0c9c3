package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The list of live and leaving hosts that the platform provides. It may be out of date.
 * Thread-safe; nothing is null.
 */
public interface HostListPort {

  /** Returns all listed hosts. */
  Mono<Either<PlatformError, List<Host>>> hosts();

  /**
   * One host.
   *
   * @param name name of the node, runner, store or service on it
   * @param role what the host does
   * @param address {@code host:port}; the peer address in the case of a node
   * @param state whether the host stays or is about to leave
   */
  record Host(String name, Role role, String address, State state) {}

  /** What a host does. */
  enum Role {
    /** A node of this system, which accepts the requests of callers. */
    NODE,
    /** A model runner. */
    RUNNER,
    /** A store for KV cache pieces. */
    STORE,
    /** A plain service. */
    SERVICE
  }

  /** Whether a host stays or is about to leave. */
  enum State {
    /** The host stays. */
    LIVE,
    /** The host will shut down soon. */
    LEAVING
  }
}
