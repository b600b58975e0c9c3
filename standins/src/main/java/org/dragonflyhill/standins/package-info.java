/**
 * Stand-ins for the systems around the nodes, such as model runners, stores and the log service.
 * They are small HTTP servers for tests and the demo, with fault injection.
 *
 * <p>Each stand-in records what it actually did; tests count violations from these records.
 */
package org.dragonflyhill.standins;
