/** Measures how state and time grow with the size of a deployment, for docs/CAPACITY.md. */
package org.dragonflyhill.standins.slopes;
