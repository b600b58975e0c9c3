/** The caller of {@code scripts/demo}. */
package org.dragonflyhill.standins.demo;
