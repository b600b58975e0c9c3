/**
 * Small stand-ins of the systems around the nodes, with switches that cause failures.
 *
 * <p>Each stand-in keeps records of what it really did; tests count violations from those.
 */
package org.dragonflyhill.standins;
