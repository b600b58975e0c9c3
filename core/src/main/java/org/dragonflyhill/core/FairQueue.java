package org.dragonflyhill.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A queue that serves organisations in proportion to their shares, counted in tokens of work.
 *
 * <p>Each organisation has a virtual time that grows by work over share with each request served;
 * the one with the lowest comes next. An organisation that was idle starts at the present virtual
 * time, so that it can neither save up nor lose its turn. Requests that are removed cost nothing.
 *
 * <pre>{@code
 * queue.add(new FairQueue.Item("r-1", "granja", 2, 4_000));
 * Optional<FairQueue.Item> next = queue.poll();
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class FairQueue {

  private static final Comparator<OrganisationQueue> BY_VIRTUAL_TIME =
      Comparator.comparingDouble((OrganisationQueue line) -> line.virtualTime)
          .thenComparing(line -> line.organisation);

  private final Map<String, OrganisationQueue> queues = new HashMap<>();
  private final TreeSet<OrganisationQueue> nonEmptyQueues = new TreeSet<>(BY_VIRTUAL_TIME);
  private final Map<String, OrganisationQueue> queuesByItemId = new HashMap<>();
  private double virtualTime;

  /** Adds a request behind the others of its organisation. */
  public void add(Item item) {
    OrganisationQueue queue = queues.computeIfAbsent(item.organisation(), OrganisationQueue::new);
    nonEmptyQueues.remove(queue);
    if (queue.items.isEmpty()) {
      queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
    }
    queue.share = Math.max(1, item.share());
    queue.items.put(item.id(), item);
    queuesByItemId.put(item.id(), queue);
    nonEmptyQueues.add(queue);
  }

  /** Takes the next request. */
  public Optional<Item> poll() {
    OrganisationQueue queue = nonEmptyQueues.pollFirst();
    if (queue == null) {
      return Optional.empty();
    }
    virtualTime = Math.max(virtualTime, queue.virtualTime);
    Item item = queue.items.pollFirstEntry().getValue();
    queuesByItemId.remove(item.id());
    queue.virtualTime += (double) item.work() / queue.share;
    if (!queue.items.isEmpty()) {
      nonEmptyQueues.add(queue);
    }
    removeIdleQueues();
    return Optional.of(item);
  }

  /** Removes a request; returns whether it was there. */
  public boolean remove(String id) {
    OrganisationQueue queue = queuesByItemId.remove(id);
    if (queue == null) {
      return false;
    }
    nonEmptyQueues.remove(queue);
    queue.items.remove(id);
    if (!queue.items.isEmpty()) {
      nonEmptyQueues.add(queue);
    }
    return true;
  }

  /** Returns the number of requests. */
  public int size() {
    return queuesByItemId.size();
  }

  /**
   * Returns how many requests would be served before a new one of an organisation.
   *
   * @param organisation its organisation
   * @param share share of the organisation
   */
  public int countAhead(String organisation, int share) {
    OrganisationQueue own = queues.get(organisation);
    int ownCount = own == null ? 0 : own.items.size();
    long ahead = 0;
    for (OrganisationQueue queue : nonEmptyQueues) {
      if (queue.organisation.equals(organisation)) {
        ahead += ownCount;
      } else {
        long servedFirst = (long) Math.ceil((ownCount + 1.0) * queue.share / Math.max(1, share));
        ahead += Math.min(queue.items.size(), servedFirst);
      }
    }
    return Math.toIntExact(ahead);
  }

  /** Drops lines whose virtual time says nothing any more, so that memory stays bounded. */
  private void removeIdleQueues() {
    if (nonEmptyQueues.isEmpty()) {
      queues.clear();
      virtualTime = 0;
    } else if (queues.size() > 2 * nonEmptyQueues.size() + 16) {
      queues.values().removeIf(line -> line.items.isEmpty() && line.virtualTime <= virtualTime);
    }
  }

  /**
   * A request that waits.
   *
   * @param id id of the request
   * @param organisation who asks
   * @param share share of the organisation, at least 1
   * @param work tokens of work
   */
  public record Item(String id, String organisation, int share, long work) {}

  /** Waiting requests of one organisation. */
  private static final class OrganisationQueue {
    private final String organisation;
    private final LinkedHashMap<String, Item> items = new LinkedHashMap<>();
    private int share = 1;
    private double virtualTime;

    OrganisationQueue(String organisation) {
      this.organisation = organisation;
    }
  }
}
