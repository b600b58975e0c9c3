/**
 * Decisions of a node that relays requests byte for byte to runners and plain services: routes,
 * placement, retries and weights. No I/O, no threads, no clock.
 */
package org.dragonflyhill.core.relay;
