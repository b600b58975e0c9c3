/** JMH benchmarks of the decision logic. Not part of the distribution. */
package org.dragonflyhill.bench;
