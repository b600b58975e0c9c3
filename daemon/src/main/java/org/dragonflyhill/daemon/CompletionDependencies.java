package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.dragonflyhill.core.HedgeDelay;
import org.dragonflyhill.core.RetryBudget;
import org.dragonflyhill.ports.RunnerPort;

/**
 * What all completions of a node share. Immutable and thread-safe; no component is null.
 *
 * @param endpoints state of the endpoints
 * @param placement chooses runners
 * @param runners calls runners
 * @param budget limits retries and hedges
 * @param hedgeDelay computes when to hedge
 * @param metrics counts retries
 * @param journal remembers where requests were sent
 * @param random spreads retries; safe for many threads
 * @param clock present time
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
