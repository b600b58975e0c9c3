package org.dragonflyhill.core.relay;

/**
 * Network address of a runner or store. Immutable.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Endpoint(String host, int port) {

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
