/**
 * Reverse proxy that relays callers' HTTP/1.1 requests to model runners and other services, without
 * changing the bodies.
 *
 * <p>All classes run on one event loop and are not thread-safe. The names of header fields are
 * defined by the implementation of {@link org.dragonflyhill.daemon.relay.HeaderCodec}.
 */
package org.dragonflyhill.daemon.relay;
