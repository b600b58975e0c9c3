/**
 * The daemon of an entry host: a chain of filters that handle requests, and controllers that hold
 * state.
 *
 * <p>A request passes {@link org.dragonflyhill.daemon.HttpFrontend}, then the filters in the order
 * that {@link org.dragonflyhill.daemon.RequestChainFactory} sets, and ends at the {@link
 * org.dragonflyhill.daemon.Dispatcher}. Nothing is null.
 */
package org.dragonflyhill.daemon;
