/**
 * Protocol between entry hosts: framed TCP with MessagePack, authenticated by a shared secret.
 *
 * <p>It carries heartbeats, states of the configuration and questions about the outcome of
 * non-repeatable requests. Nothing that must last depends on it.
 */
package org.dragonflyhill.peer;
