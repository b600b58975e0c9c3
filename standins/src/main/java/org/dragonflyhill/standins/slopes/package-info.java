/**
 * Measures how memory, state size and run time grow with the size of a deployment. The results are
 * published in docs/CAPACITY.md.
 */
package org.dragonflyhill.standins.slopes;
