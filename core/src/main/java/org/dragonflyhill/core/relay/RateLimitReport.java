package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * What a node tells its peers about the rate of requests that a runner accepts. Immutable; no
 * component is null.
 *
 * @param startedAtMillis start of the runner's process in Unix milliseconds
 * @param perSecond requests per second that it accepts from all nodes, empty for no limit
 * @param age time since the node heard so from the runner itself
 */
public record RateLimitReport(long startedAtMillis, OptionalDouble perSecond, Duration age) {}
