/** Command line program for operators. */
package org.dragonflyhill.cli;
