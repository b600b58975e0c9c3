/**
 * Embeddable decision logic of dragonflyhill: configuration, claims, cache keys, placement and
 * limits.
 *
 * <p>Code in this package does no I/O, starts no threads and reads no clock; methods that depend on
 * the time take it as an argument. Parameters and results are never null; absent values are
 * represented by {@link java.util.Optional}.
 */
package org.dragonflyhill.core;
