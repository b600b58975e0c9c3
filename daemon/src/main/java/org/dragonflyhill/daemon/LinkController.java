package org.dragonflyhill.daemon;

import java.time.Instant;
import java.util.List;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ConfigurationObject.Store;
import org.dragonflyhill.core.LinkBudget;
import org.dragonflyhill.core.LinkBudget.Link;

/**
 * Tracks the load that this node puts on the network links of runners and stores.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class LinkController {

  private final LinkBudget budget = new LinkBudget();

  /** Returns the effective bandwidth of a new import, limited by the slower of the two links. */
  public synchronized long estimateBytesPerSecond(
      Runner runner, Store store, long bytes, Instant now) {
    return Math.min(
        budget.estimateBytesPerSecond(link(runner), bytes, now),
        budget.estimateBytesPerSecond(link(store), bytes, now));
  }

  /** Adds an import to the queues of both links. */
  public synchronized void reserveImport(Runner runner, Store store, long bytes, Instant now) {
    budget.reserve(link(runner), bytes, now);
    budget.reserve(link(store), bytes, now);
  }

  /** Reserves both links for an export, or neither; returns whether the export may start now. */
  public synchronized boolean tryReserveExport(
      Runner runner, Store store, long bytes, Instant now) {
    return budget.tryReserveExport(List.of(link(runner), link(store)), bytes, now);
  }

  private static Link link(Runner runner) {
    return new Link(runner.name(), Math.max(1, runner.linkBytesPerSecond()));
  }

  private static Link link(Store store) {
    return new Link(store.name(), Math.max(1, store.linkBytesPerSecond()));
  }
}
