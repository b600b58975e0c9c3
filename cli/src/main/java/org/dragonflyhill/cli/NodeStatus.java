package org.dragonflyhill.cli;

import java.util.Optional;

/**
 * State of a node, as its admin interface tells it.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param node name
 * @param availabilityZone availability zone
 * @param configurationVersion offset of the last accepted change, -1 for none
 * @param configurationOffset offset of the last change read, -1 for none
 * @param runningRequests number of running requests
 * @param notReadyReason why it is not ready; empty if it is
 */
record NodeStatus(
    String node,
    String availabilityZone,
    long configurationVersion,
    long configurationOffset,
    int runningRequests,
    Optional<String> notReadyReason) {}
