package org.dragonflyhill.core.relay;

/**
 * Network address of a runner or store. Immutable.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Endpoint(String host, int port) {

  @Override
  public boolean equals(Object other) {
    // Written out, since the generated method is several times slower without the C2 compiler,
    // which nodes do not use.
    return other instanceof Endpoint endpoint
        && port == endpoint.port
        && host.equals(endpoint.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
