package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's list of live and leaving hosts, which lags. Thread-safe; nothing is null. */
public interface HostListPort {

  /** Returns all listed hosts. */
  Mono<Either<PlatformError, List<Host>>> hosts();

  /**
   * One host.
   *
   * @param name name of the node, runner, store or service on it
   * @param role what it does
   * @param address {@code host:port}; for a node, its peer address
   * @param state whether it stays
   */
  record Host(String name, Role role, String address, State state) {}

  /** What a host does. */
  enum Role {
    /** An entry host of this system. */
    NODE,
    /** A model runner. */
    RUNNER,
    /** A store of KV cache. */
    STORE,
    /** A plain service. */
    SERVICE
  }

  /** Whether a host stays. */
  enum State {
    /** It stays. */
    LIVE,
    /** It will go soon. */
    LEAVING
  }
}
