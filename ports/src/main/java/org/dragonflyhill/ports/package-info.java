/**
 * Ports to the systems around the nodes, their HTTP adapters, JSON forms, settings and logs.
 *
 * <p>A port's call ends with an {@link io.vavr.control.Either}: a {@link
 * org.dragonflyhill.ports.PlatformError} on the left, the answer on the right. Nothing is null.
 */
package org.dragonflyhill.ports;
