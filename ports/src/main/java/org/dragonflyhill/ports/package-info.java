/**
 * Interfaces to the systems that nodes call, their HTTP clients, and common code for JSON, settings
 * and logging.
 *
 * <p>Most calls return an {@link io.vavr.control.Either} with a {@link
 * org.dragonflyhill.ports.PlatformError} on the left or the result on the right. Nothing is null.
 */
package org.dragonflyhill.ports;
