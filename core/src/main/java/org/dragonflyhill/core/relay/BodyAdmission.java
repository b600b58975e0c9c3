package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which bodies of requests a node receives now, which wait for memory and which it refuses.
 *
 * <p>A body gets the memory for its whole length before its first byte is read. Bodies that are
 * partly received therefore never wait for each other.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class BodyAdmission {

  /**
   * Time after which a waiting body is refused. Callers that are refused in time can still ask
   * another node.
   */
  public static final Duration MAX_WAIT = Duration.ofMillis(500);

  /** Time after which a refused caller should try again. A body of 4 MB takes some seconds. */
  public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final RelayMemory memory;
  private final List<Waiting> queue = new ArrayList<>();

  /** Creates an admission without waiting bodies. */
  public BodyAdmission(RelayMemory memory) {
    this.memory = memory;
  }

  /** Returns the number of waiting bodies. */
  public int size() {
    return queue.size();
  }

  /** Returns whether the bodies wait and none of them finds room. */
  public boolean isBlocked() {
    return !queue.isEmpty()
        && queue.stream()
            .map(Waiting::body)
            .noneMatch(body -> memory.hasRoom(body.length(), body.length()));
  }

  /** Adds the length of a body to its share if it is admitted at once; else it waits. */
  public boolean admit(Body body, Instant now) {
    boolean hasOthersAhead =
        queue.stream().anyMatch(waiting -> isLarge(waiting.body) == isLarge(body));
    if (!hasOthersAhead && memory.hasRoom(body.length(), body.length())) {
      body.share().add(body.length());
      return true;
    }
    queue.add(new Waiting(body, now));
    return false;
  }

  /** Removes a body whose caller has gone. */
  public void remove(Body body) {
    queue.removeIf(waiting -> waiting.body == body);
  }

  /** Admits waiting bodies for which there is room, in order, and refuses those that are late. */
  public void update(Instant now) {
    boolean isLargeBlocked = false;
    boolean isSmallBlocked = false;
    for (Waiting waiting : List.copyOf(queue)) {
      Body body = waiting.body;
      boolean isBlocked = isLarge(body) ? isLargeBlocked : isSmallBlocked;
      if (!isBlocked && memory.hasRoom(body.length(), body.length())) {
        queue.remove(waiting);
        body.share().add(body.length());
        body.onAdmitted();
      } else if (Duration.between(waiting.since, now).compareTo(MAX_WAIT) >= 0) {
        queue.remove(waiting);
        body.onRefused();
      } else if (isLarge(body)) {
        isLargeBlocked = true;
      } else {
        isSmallBlocked = true;
      }
    }
  }

  private static boolean isLarge(Body body) {
    return body.length() > RelayMemory.MAX_SMALL_BODY_BYTES;
  }

  /** A body of known length that a caller is about to send. */
  public interface Body {

    /** Returns its length in bytes. */
    long length();

    /** Returns the share of memory to which the length is added. */
    ByteBudget.Share share();

    /** Called when a body that had to wait may be received. */
    void onAdmitted();

    /** Called when a body has waited for too long. */
    void onRefused();
  }

  private record Waiting(Body body, Instant since) {}
}
