/**
 * Simulation that replays recorded or generated traces, in order to compare the product's placement
 * with baselines. Runners, stores and links are simulated. Shipped separately from the product.
 */
package org.dragonflyhill.standins.replay;
