/** Sends the requests of {@code scripts/demo} and checks the responses. */
package org.dragonflyhill.standins.demo;
