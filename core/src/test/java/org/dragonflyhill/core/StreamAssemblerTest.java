package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.dragonflyhill.core.StreamAssembler.Verdict;
import org.testng.annotations.Test;

/** Tests of {@link StreamAssembler}. */
public final class StreamAssemblerTest {

  private final StreamAssembler assembler = new StreamAssembler("r", "v1");

  private Verdict chunk(int offset, int tokens) {
    return assembler.acceptChunk("r", "v1", offset, tokens);
  }

  private StreamAssembler assemblerAfter(int tokens) {
    StreamAssembler other = new StreamAssembler("r", "v1");
    other.acceptChunk("r", "v1", 0, tokens);
    return other;
  }

  @Test
  public void takesChunksInOrder() {
    StreamAssembler other = assemblerAfter(2);
    assertEquals(other.acceptChunk("r", "v1", 2, 3), Verdict.TAKE);
    assertEquals(other.offset(), 5);
  }

  @Test
  public void dropsDuplicateAndLateChunks() {
    StreamAssembler other = assemblerAfter(4);
    assertEquals(other.acceptChunk("r", "v1", 2, 2), Verdict.DROP);
    assertEquals(other.acceptChunk("r", "v1", 0, 1), Verdict.DROP);
    assertEquals(other.offset(), 4);
  }

  @Test
  public void findsGap() {
    assertEquals(chunk(1, 1), Verdict.GAP);
    assertEquals(assembler.offset(), 0);
  }

  @Test
  public void findsChunkOfAnotherRequest() {
    assertEquals(assembler.acceptChunk("other", "v1", 0, 1), Verdict.CROSSED);
    assertEquals(assembler.acceptEnd("other", 0), Verdict.CROSSED);
  }

  @Test
  public void findsAnotherWeightVersion() {
    assertEquals(assembler.acceptChunk("r", "v2", 0, 1), Verdict.WRONG_WEIGHT_VERSION);
  }

  @Test
  public void rejectsOverlapAndInvalidNumbers() {
    StreamAssembler other = assemblerAfter(4);
    assertEquals(other.acceptChunk("r", "v1", 3, 2), Verdict.MALFORMED);
    assertEquals(other.acceptChunk("r", "v1", 4, 0), Verdict.MALFORMED);
    assertEquals(other.acceptChunk("r", "v1", -1, 1), Verdict.MALFORMED);
    assertEquals(other.acceptChunk("r", "v1", 3, Integer.MAX_VALUE), Verdict.MALFORMED);
  }

  @Test
  public void endMustMatchTotal() {
    StreamAssembler other = assemblerAfter(4);
    assertEquals(other.acceptEnd("r", 5), Verdict.GAP);
    assertEquals(other.acceptEnd("r", 3), Verdict.MALFORMED);
    assertEquals(other.acceptEnd("r", 4), Verdict.TAKE);
  }

  @Test
  public void takenTokensAlwaysFormThePrefix() {
    Random random = new Random(1);
    for (int round = 0; round < 200; round++) {
      StreamAssembler other = new StreamAssembler("r", "v1");
      int taken = 0;
      for (int step = 0; step < 100; step++) {
        int offset = random.nextInt(30);
        int tokens = 1 + random.nextInt(3);
        if (other.acceptChunk("r", "v1", offset, tokens) == Verdict.TAKE) {
          assertEquals(offset, taken);
          taken += tokens;
        }
      }
      assertTrue(other.acceptEnd("r", taken) == Verdict.TAKE);
    }
  }
}
