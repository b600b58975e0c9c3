/** The operators' command line. */
package org.dragonflyhill.cli;
