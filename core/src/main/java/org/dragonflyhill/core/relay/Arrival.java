package org.dragonflyhill.core.relay;

import java.time.Instant;

/**
 * When a request arrived at a node, as far as the node knows. A request may lie unread in the
 * socket while the event loop is late, so its arrival is only known to be within an interval. Its
 * deadlines count from the start of the interval: its caller does not wait longer because the node
 * is late.
 *
 * @param notBefore a time before which it had not arrived
 * @param readAt time when its first bytes were read
 */
public record Arrival(Instant notBefore, Instant readAt) {}
