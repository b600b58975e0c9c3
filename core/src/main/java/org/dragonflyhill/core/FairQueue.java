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

  private static final Comparator<Line> BY_VIRTUAL_TIME =
      Comparator.comparingDouble((Line line) -> line.virtualTime)
          .thenComparing(line -> line.organisation);

  private final Map<String, Line> lines = new HashMap<>();
  private final TreeSet<Line> waiting = new TreeSet<>(BY_VIRTUAL_TIME);
  private final Map<String, Line> linesById = new HashMap<>();
  private double virtualTime;

  /** Adds a request behind the others of its organisation. */
  public void add(Item item) {
    Line line = lines.computeIfAbsent(item.organisation(), Line::new);
    waiting.remove(line);
    if (line.items.isEmpty()) {
      line.virtualTime = Math.max(line.virtualTime, virtualTime);
    }
    line.share = Math.max(1, item.share());
    line.items.put(item.id(), item);
    linesById.put(item.id(), line);
    waiting.add(line);
  }

  /** Takes the next request. */
  public Optional<Item> poll() {
    Line line = waiting.pollFirst();
    if (line == null) {
      return Optional.empty();
    }
    virtualTime = Math.max(virtualTime, line.virtualTime);
    Item item = line.items.pollFirstEntry().getValue();
    linesById.remove(item.id());
    line.virtualTime += (double) item.work() / line.share;
    if (!line.items.isEmpty()) {
      waiting.add(line);
    }
    forgetIdle();
    return Optional.of(item);
  }

  /** Removes a request; returns whether it was there. */
  public boolean remove(String id) {
    Line line = linesById.remove(id);
    if (line == null) {
      return false;
    }
    waiting.remove(line);
    line.items.remove(id);
    if (!line.items.isEmpty()) {
      waiting.add(line);
    }
    return true;
  }

  /** Returns the number of requests. */
  public int size() {
    return linesById.size();
  }

  /**
   * Returns how many requests would be served before a new one of an organisation.
   *
   * @param organisation its organisation
   * @param share share of the organisation
   */
  public int ahead(String organisation, int share) {
    Line own = lines.get(organisation);
    int ownWaiting = own == null ? 0 : own.items.size();
    long ahead = 0;
    for (Line line : waiting) {
      if (line.organisation.equals(organisation)) {
        ahead += ownWaiting;
      } else {
        long turns = (long) Math.ceil((ownWaiting + 1.0) * line.share / Math.max(1, share));
        ahead += Math.min(line.items.size(), turns);
      }
    }
    return Math.toIntExact(ahead);
  }

  /** Drops lines whose virtual time says nothing any more, so that memory stays bounded. */
  private void forgetIdle() {
    if (waiting.isEmpty()) {
      lines.clear();
      virtualTime = 0;
    } else if (lines.size() > 2 * waiting.size() + 16) {
      lines.values().removeIf(line -> line.items.isEmpty() && line.virtualTime <= virtualTime);
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
  private static final class Line {
    private final String organisation;
    private final LinkedHashMap<String, Item> items = new LinkedHashMap<>();
    private int share = 1;
    private double virtualTime;

    Line(String organisation) {
      this.organisation = organisation;
    }
  }
}
