package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.testng.annotations.Test;

/** Responses that no request waits for: how they are found, and what follows for connections. */
public final class StrayResponseTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A status line is found wherever the reads divide it. */
  @Test
  public void findsStatusLineSplitOverReads() {
    String text = "late body" + "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i <= text.length(); i++) {
      StatusLineScanner scanner = new StatusLineScanner();
      boolean isFound = scanner.append(bytes(text.substring(0, i)));
      isFound |= scanner.append(bytes(text.substring(i)));
      assertTrue(isFound, "divided at " + i);
    }
    StatusLineScanner scanner = new StatusLineScanner();
    boolean isFound = false;
    for (char each : text.toCharArray()) {
      isFound |= scanner.append(bytes(String.valueOf(each)));
    }
    assertTrue(isFound, "one byte a read");
  }

  /** What only resembles a status line is not one. */
  @Test
  public void ignoresOtherText() {
    StatusLineScanner scanner = new StatusLineScanner();
    for (String text : new String[] {"", "HTTP/1.1 proxy", "HTTP/2 200", "HTTP/1.1 2", "x00"}) {
      assertFalse(scanner.append(bytes(text + ' ')), text);
    }
  }

  /** Each stray response suspends reuse anew; only the first of a suspension is news. */
  @Test
  public void suspendsReuseForSomeTime() {
    ConnectionReuse reuse = new ConnectionReuse();
    assertTrue(reuse.isPermitted(NOW));
    assertTrue(reuse.recordStrayResponse(NOW));
    Instant later = NOW.plusSeconds(10);
    assertFalse(reuse.recordStrayResponse(later));
    assertFalse(reuse.isPermitted(later.plus(ConnectionReuse.SUSPENSION).minusMillis(1)));
    assertTrue(reuse.isPermitted(later.plus(ConnectionReuse.SUSPENSION)));
    assertEquals(reuse.recordStrayResponse(later.plus(ConnectionReuse.SUSPENSION)), true);
  }
}
