/**
 * The daemon of an entry host: a chain of filters for requests and a set of controllers for state.
 *
 * <p>A request passes {@link org.dragonflyhill.daemon.HttpFrontend}, then the filters in the order
 * that {@link org.dragonflyhill.daemon.Node} gives them, and ends at the {@link
 * org.dragonflyhill.daemon.Dispatcher}. Nothing is null.
 */
package org.dragonflyhill.daemon;
