package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link PieceIndex}. */
public final class PieceIndexTest {

  private static final int STEPS = 50_000;
  private static final int IDS = 2_000;

  @Test
  public void agreesWithPlainSetOverRandomChanges() {
    Random random = new Random(1);
    PieceIndex index = new PieceIndex();
    Set<String> expected = new HashSet<>();
    for (int step = 0; step < STEPS; step++) {
      String id = "piece-" + random.nextInt(IDS);
      if (random.nextBoolean()) {
        index.add("runner-1", id);
        expected.add(id);
      } else {
        index.remove("runner-1", id);
        expected.remove(id);
      }
      assertEquals(index.holds("runner-1", id), expected.contains(id), id);
    }
    for (int i = 0; i < IDS; i++) {
      assertEquals(index.holds("runner-1", "piece-" + i), expected.contains("piece-" + i));
    }
    assertEquals(index.size(), expected.size());
  }

  @Test
  public void countsLeadingPiecesOnly() {
    PieceIndex index = new PieceIndex();
    index.replace("runner-1", List.of("a", "b", "d"));
    List<PieceKeys.Piece> pieces =
        List.of("a", "b", "c", "d").stream().map(id -> new PieceKeys.Piece(id, 1)).toList();
    assertEquals(index.prefixPieces("runner-1", pieces), 2);
    assertEquals(index.prefixPieces("runner-2", pieces), 0);
  }
}
