package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Decides which callers' responses are given up while the memory of a node is used up. */
public final class SlowReaders {

  /** Time without any progress after which a reader may be ended while memory is used up. */
  public static final Duration MAX_STALL = Duration.ofSeconds(1);

  private SlowReaders() {}

  /** Returns the readers that have taken nothing for too long, the costliest first. */
  public static List<Reader> stalled(Collection<? extends Reader> readers, Instant now) {
    return readers.stream()
        .filter(reader -> reader.untakenBytes() > 0)
        .filter(reader -> Duration.between(reader.progressAt(), now).compareTo(MAX_STALL) >= 0)
        .sorted(Comparator.comparingLong(Reader::untakenBytes).reversed())
        .map(Reader.class::cast)
        .toList();
  }

  /** Ends stalled readers, the costliest first, for as long as memory is short. */
  public static void relieve(
      BooleanSupplier isMemoryShort, Collection<? extends Reader> readers, Instant now) {
    if (!isMemoryShort.getAsBoolean()) {
      return;
    }
    for (Reader reader : stalled(readers, now)) {
      if (!isMemoryShort.getAsBoolean()) {
        return;
      }
      reader.end();
    }
  }

  /** A caller that receives responses. */
  public interface Reader {

    /** Returns the number of bytes that the node holds because the caller has not taken them. */
    long untakenBytes();

    /** Returns when the caller last took bytes. */
    Instant progressAt();

    /** Gives the response up and closes the connection. */
    void end();
  }
}
