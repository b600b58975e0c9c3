/**
 * Decision logic of a node that relays requests byte for byte to runners and plain services:
 * routing, runner selection, cache placement, retries and weight rollouts. This package does no
 * I/O, starts no threads and reads no clock.
 */
package org.dragonflyhill.core.relay;
