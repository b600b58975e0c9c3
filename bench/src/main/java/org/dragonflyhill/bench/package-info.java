/** Benchmarks of the decision logic. Ships apart from the product. */
package org.dragonflyhill.bench;
