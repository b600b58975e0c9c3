/**
 * Relays callers' requests byte for byte to runners and plain services over HTTP/1.1.
 *
 * <p>All classes run on one event loop and are not thread-safe. What headers and records are called
 * is told by a {@link org.dragonflyhill.daemon.relay.CallDialect}.
 */
package org.dragonflyhill.daemon.relay;
