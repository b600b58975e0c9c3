package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.dragonflyhill.core.relay.HolderAssignment;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOriginHolders;
import org.dragonflyhill.core.relay.StreamOrigins;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * Where the latest streams began, as this node and its peers know. A node tells some peers of each
 * stream that it begins; one that does not know a stream asks them, and then reads the journal.
 */
final class StreamOriginDirectory {

  /** Time after which peers are asked once more, and more of them, since datagrams get lost. */
  private static final Duration REPEAT_AFTER = Duration.ofMillis(40);

  /** Time after which a stream counts as unknown, a few round trips between availability zones. */
  private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(150);

  private final InstantSource clock;
  private final NodeMetrics metrics;
  private final StreamOrigins origins = new StreamOrigins();
  private final Map<String, Lookup> lookups = new HashMap<>();
  private Peers peers = new NoPeers();
  private Optional<StreamOriginJournal> journal = Optional.empty();

  StreamOriginDirectory(InstantSource clock, NodeMetrics metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Uses peers from now on; before, this node knows only the streams that it began itself. */
  void usePeers(Peers newPeers) {
    peers = newPeers;
  }

  /** Uses a log for what nodes have to know that start when no peer is left. */
  void useLog(StreamOriginLog log, DecisionLog decisions) {
    var opened =
        new StreamOriginJournal(
            log,
            decisions,
            (attempt, origin) -> origins.record(attempt, origin, "log", clock.instant()));
    journal = Optional.of(opened);
    opened.read(() -> {});
  }

  /** Writes the origins of streams that have begun here to the log, where they are needed. */
  void writeJournal(Predicate<String> isNeeded, Duration maxAge, int nodes) {
    journal.ifPresent(opened -> opened.write(isNeeded, maxAge, nodes, clock.instant()));
  }

  /** Records where a stream has begun at this node, and tells the peers that hold it. */
  void begin(String attempt, StreamOrigin origin) {
    Instant now = clock.instant();
    origins.record(attempt, origin, "this node", now);
    journal.ifPresent(opened -> opened.begun(attempt, origin, now));
    List<String> ranked = StreamOriginHolders.rank(attempt, peers.live());
    peers.tell(
        attempt, origin, ranked.subList(0, Math.min(StreamOriginHolders.HOLDERS, ranked.size())));
  }

  /** Records what a peer tells of a stream, and ends the lookups of it. */
  void onTold(String peer, String attempt, StreamOrigin origin) {
    origins.record(attempt, origin, "node " + peer, clock.instant());
    end(attempt);
  }

  /** Records that a peer does not know a stream; if none of those asked does, asks the others. */
  void onUnknown(String peer, String attempt) {
    Lookup lookup = lookups.get(attempt);
    if (lookup != null && lookup.waitingFor.remove(peer) && lookup.waitingFor.isEmpty()) {
      if (lookup.hasAskedAll) {
        end(attempt);
      } else {
        askAll(lookup);
      }
    }
  }

  /** Returns what this node knows of a stream. */
  Optional<StreamOrigins.Known> known(String attempt) {
    return origins.find(attempt, clock.instant());
  }

  /** Passes what is known of a stream to a callback, after asking the peers if necessary. */
  void find(String attempt, Consumer<Optional<StreamOrigins.Known>> found) {
    Optional<StreamOrigins.Known> known = known(attempt);
    if (known.isPresent()) {
      found.accept(known);
      return;
    }
    if (peers.live().isEmpty()) {
      readJournal(attempt, List.of(found));
      return;
    }
    Lookup running = lookups.get(attempt);
    if (running != null) {
      running.callbacks.add(found);
      return;
    }
    metrics.count("relay.stream_lookups");
    Lookup lookup = new Lookup(attempt, clock.instant());
    lookup.callbacks.add(found);
    lookups.put(attempt, lookup);
    List<String> ranked = StreamOriginHolders.rank(attempt, peers.live());
    ask(lookup, ranked.subList(0, Math.min(StreamOriginHolders.HOLDERS, ranked.size())));
    lookup.hasAskedAll = lookup.waitingFor.size() == ranked.size();
  }

  /** Asks once more where no peer has answered, and ends the lookups that take too long. */
  void checkLookups(Instant now) {
    for (Lookup lookup : List.copyOf(lookups.values())) {
      Duration age = Duration.between(lookup.startedAt, now);
      if (age.compareTo(LOOKUP_TIMEOUT) >= 0) {
        end(lookup.attempt);
      } else if (age.compareTo(REPEAT_AFTER) >= 0 && !lookup.isRepeated) {
        lookup.isRepeated = true;
        askAll(lookup);
      }
    }
  }

  /** Returns whether peers have been asked and have not all answered yet. */
  boolean hasLookups() {
    return !lookups.isEmpty();
  }

  private void askAll(Lookup lookup) {
    lookup.hasAskedAll = true;
    ask(lookup, peers.live().stream().map(HolderAssignment.Peer::node).toList());
  }

  private void ask(Lookup lookup, List<String> nodes) {
    lookup.waitingFor.addAll(nodes);
    peers.ask(lookup.attempt, nodes);
  }

  private void end(String attempt) {
    Lookup lookup = lookups.remove(attempt);
    if (lookup != null) {
      Optional<StreamOrigins.Known> known = known(attempt);
      if (known.isPresent()) {
        lookup.callbacks.forEach(callback -> callback.accept(known));
      } else {
        readJournal(attempt, lookup.callbacks);
      }
    }
  }

  /** Passes on what is known of a stream after what is new in the journal has been read. */
  private void readJournal(
      String attempt, List<Consumer<Optional<StreamOrigins.Known>>> callbacks) {
    Runnable pass =
        () -> {
          Optional<StreamOrigins.Known> known = known(attempt);
          callbacks.forEach(callback -> callback.accept(known));
        };
    journal.ifPresentOrElse(opened -> opened.read(pass), pass);
  }

  /** The other nodes. */
  interface Peers {

    /** Returns the peers that have reported lately. */
    Collection<HolderAssignment.Peer> live();

    /** Tells some peers where a stream began. */
    void tell(String attempt, StreamOrigin origin, List<String> nodes);

    /** Asks some peers where a stream began. */
    void ask(String attempt, List<String> nodes);
  }

  private static final class NoPeers implements Peers {

    @Override
    public Collection<HolderAssignment.Peer> live() {
      return List.of();
    }

    @Override
    public void tell(String attempt, StreamOrigin origin, List<String> nodes) {
      // There is nobody to tell.
    }

    @Override
    public void ask(String attempt, List<String> nodes) {
      // There is nobody to ask.
    }
  }

  private static final class Lookup {
    private final String attempt;
    private final Instant startedAt;
    private final Set<String> waitingFor = new HashSet<>();
    private final List<Consumer<Optional<StreamOrigins.Known>>> callbacks = new ArrayList<>();
    private boolean hasAskedAll;
    private boolean isRepeated;

    Lookup(String attempt, Instant startedAt) {
      this.attempt = attempt;
      this.startedAt = startedAt;
    }
  }
}
