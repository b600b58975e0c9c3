package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests answers to peers that ask for what they have missed. */
public final class ResendQueueTest {

  private static final Instant START = Instant.EPOCH;
  private static final Duration TICK = Duration.ofMillis(30);
  private static final int BYTES_PER_SECOND = 10_000;
  private static final int DATAGRAM_BYTES = 500;
  private static final int DATAGRAMS = 100;

  private ResendQueue<String> queue;

  /** Creates an empty queue. */
  @BeforeMethod
  public void create() {
    queue = new ResendQueue<>(BYTES_PER_SECOND, START);
  }

  private static List<byte[]> snapshot() {
    return Collections.nCopies(DATAGRAMS, new byte[DATAGRAM_BYTES]);
  }

  /**
   * Guards against closes that reach runners late: peers whose link was full asked every 400 ms for
   * a snapshot that did not fit through it.
   */
  @Test
  public void peersThatAskAgainAndAgainGetNoMoreThanTheLimit() {
    long sent = 0;
    int seconds = 10;
    for (Duration at = TICK; at.toSeconds() < seconds; at = at.plus(TICK)) {
      for (int peer = 0; peer < 35; peer++) {
        queue.add("n" + peer, ResendQueueTest::snapshot);
      }
      sent += queue.take(START.plus(at)).size() * DATAGRAM_BYTES;
    }
    assertTrue(sent <= (seconds + 1) * BYTES_PER_SECOND, sent + " bytes");
    assertTrue(sent >= (seconds - 1) * BYTES_PER_SECOND, sent + " bytes");
  }

  /** Answers come whole and in the order of the questions. */
  @Test
  public void peersAreAnsweredOneAfterTheOther() {
    queue.add("n1", ResendQueueTest::snapshot);
    queue.add("n2", ResendQueueTest::snapshot);
    List<String> peers = new ArrayList<>();
    for (int second = 1; queue.size() > 0; second++) {
      for (ResendQueue.Datagram<String> each : queue.take(START.plusSeconds(second))) {
        peers.add(each.peer());
      }
    }
    List<String> expected = new ArrayList<>(Collections.nCopies(DATAGRAMS, "n1"));
    expected.addAll(Collections.nCopies(DATAGRAMS, "n2"));
    assertEquals(peers, expected);
  }

  /** An answer is created when its turn comes, so that it is not out of date. */
  @Test
  public void waitingAnswerIsReplaced() {
    queue.add("n1", ResendQueueTest::snapshot);
    queue.add("n1", () -> List.of(new byte[1]));
    assertEquals(queue.take(START.plusSeconds(1)).size(), 1);
    assertEquals(queue.size(), 0);
  }
}
