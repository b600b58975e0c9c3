package org.dragonflyhill.cli;

import java.util.Optional;

/**
 * Status of a node, as reported by its admin interface.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param node name of the node
 * @param availabilityZone name of its availability zone
 * @param configurationVersion offset of the last accepted change, -1 for none
 * @param configurationOffset offset of the last configuration record that was read, -1 for none
 * @param runningRequests number of running requests
 * @param notReadyReason why the node is not ready; empty if it is ready
 */
record NodeStatus(
    String node,
    String availabilityZone,
    long configurationVersion,
    long configurationOffset,
    int runningRequests,
    Optional<String> notReadyReason) {}
