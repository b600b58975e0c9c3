package org.dragonflyhill.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A weighted fair queue that serves organisations in proportion to their shares.
 *
 * <p>Each organisation has a virtual time that grows by {@code work / share} with each request
 * served, where the work is counted in tokens. The organisation with the lowest virtual time is
 * served next. An organisation that was idle resumes at the queue's current virtual time or its
 * own, whichever is later, so that idle time earns no priority. Removed requests are not charged.
 *
 * <pre>{@code
 * queue.add(new FairQueue.Item("r-1", "granja", 2, 4_000));
 * Optional<FairQueue.Item> next = queue.poll();
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class FairQueue {

  private static final Comparator<OrganisationQueue> BY_VIRTUAL_TIME =
      Comparator.comparingDouble((OrganisationQueue queue) -> queue.virtualTime)
          .thenComparing(queue -> queue.organisation);

  private final Map<String, OrganisationQueue> queues = new HashMap<>();
  private final TreeSet<OrganisationQueue> nonEmptyQueues = new TreeSet<>(BY_VIRTUAL_TIME);
  private final Map<String, OrganisationQueue> queuesByItemId = new HashMap<>();
  private double virtualTime;

  /** Adds a request at the end of its organisation's queue. */
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

  /** Removes and returns the next request, or returns empty if no request waits. */
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

  /** Removes a request and returns whether it was in the queue. */
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

  /** Returns the number of waiting requests. */
  public int size() {
    return queuesByItemId.size();
  }

  /**
   * Estimates how many waiting requests would be served before a new request of an organisation.
   * All requests are taken to cost the same.
   *
   * @param organisation name of the organisation
   * @param share weight of the organisation
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

  /**
   * Removes queues that are no longer needed, so that memory stays bounded: all queues if no
   * request waits, otherwise the empty ones that would resume at the current virtual time anyway.
   */
  private void removeIdleQueues() {
    if (nonEmptyQueues.isEmpty()) {
      queues.clear();
      virtualTime = 0;
    } else if (queues.size() > 2 * nonEmptyQueues.size() + 16) {
      queues.values().removeIf(queue -> queue.items.isEmpty() && queue.virtualTime <= virtualTime);
    }
  }

  /**
   * A waiting request.
   *
   * @param id id of the request
   * @param organisation name of the organisation that sent the request
   * @param share weight of the organisation, at least 1
   * @param work cost of the request in tokens
   */
  public record Item(String id, String organisation, int share, long work) {}

  /** Waiting requests of one organisation, in order of arrival. */
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
