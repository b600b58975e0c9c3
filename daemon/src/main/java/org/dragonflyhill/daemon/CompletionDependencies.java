package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.dragonflyhill.core.HedgeDelay;
import org.dragonflyhill.core.RetryBudget;
import org.dragonflyhill.ports.RunnerPort;

/**
 * The dependencies that all completions of a node share.
 *
 * <p>Immutable and thread-safe. Components are never null.
 *
 * @param endpoints state of the endpoints
 * @param placement chooses the runner of each attempt
 * @param runners client for the runners
 * @param budget limits retries and hedge requests
 * @param hedgeDelay computes the delay before a hedge request
 * @param metrics counts retries
 * @param journal records to which runners requests were sent
 * @param random source of the jitter of retry delays; must be thread-safe
 * @param clock source of the current time
 */
record CompletionDependencies(
    EndpointController endpoints,
    Placer placement,
    RunnerPort runners,
    RetryBudget budget,
    HedgeDelay hedgeDelay,
    NodeMetrics metrics,
    DecisionJournal journal,
    RandomGenerator random,
    InstantSource clock) {}
