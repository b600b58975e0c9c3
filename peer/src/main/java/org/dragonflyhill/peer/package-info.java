/**
 * Protocol between nodes: MessagePack in frames over TCP, authenticated by a shared secret.
 *
 * <p>It carries heartbeats, serialized configurations and queries for the outcome of non-repeatable
 * requests. Durability of data never depends on these messages.
 */
package org.dragonflyhill.peer;
