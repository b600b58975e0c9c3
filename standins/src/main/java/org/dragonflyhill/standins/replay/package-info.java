/**
 * Replay of recorded or generated traces through the placement of the product and its rivals,
 * against small fakes of runners, stores and links. Ships apart from the product.
 */
package org.dragonflyhill.standins.replay;
