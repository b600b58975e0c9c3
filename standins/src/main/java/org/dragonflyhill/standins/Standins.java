package org.dragonflyhill.standins;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Starts stand-ins in the current process.
 *
 * <pre>{@code
 * StandinServer log = new Standins("127.0.0.1", InstantSource.system()).log(0, 0);
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class Standins {

  private final String host;
  private final InstantSource clock;

  /** Creates a factory for stand-ins that listen on the given IP address. */
  public Standins(String host, InstantSource clock) {
    this.host = host;
    this.clock = clock;
  }

  /** Starts a stand-in for a model runner. */
  public StandinServer runner(int port, int adminPort, RunnerStandin.Engine engine) {
    AtomicReference<StandinServer> server = new AtomicReference<>();
    var runner =
        new RunnerStandin(
            engine, () -> server.get().faults(), value -> server.get().record(value), clock);
    server.set(new StandinServer(host, port, adminPort, runner));
    return server.get();
  }

  /** Starts a stand-in for a plain service. */
  public StandinServer service(int port, int adminPort) {
    AtomicReference<StandinServer> server = new AtomicReference<>();
    var service = new ServiceStandin(value -> server.get().record(value), clock);
    server.set(new StandinServer(host, port, adminPort, service));
    return server.get();
  }

  /** Starts a stand-in for a weight store. */
  public StandinServer weightStore(int port, int adminPort) {
    AtomicReference<StandinServer> server = new AtomicReference<>();
    var store = new WeightStoreStandin(value -> server.get().record(value));
    server.set(new StandinServer(host, port, adminPort, store));
    return server.get();
  }

  /** Starts a stand-in for a store with the given capacity in bytes. */
  public StandinServer store(int port, int adminPort, long capacityBytes) {
    AtomicReference<StandinServer> server = new AtomicReference<>();
    var store =
        new StoreStandin(
            capacityBytes, () -> server.get().faults(), value -> server.get().record(value), clock);
    server.set(new StandinServer(host, port, adminPort, store));
    return server.get();
  }

  /** Starts a stand-in for the log service. */
  public StandinServer log(int port, int adminPort) {
    return new StandinServer(host, port, adminPort, new LogStandin());
  }

  /** Starts a stand-in for the host list service. */
  public StandinServer hostList(int port, int adminPort) {
    return new StandinServer(host, port, adminPort, new HostListStandin());
  }
}
