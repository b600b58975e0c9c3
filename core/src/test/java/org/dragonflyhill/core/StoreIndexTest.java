package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link StoreIndex}. */
public final class StoreIndexTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration RETRY_DELAY = Duration.ofMinutes(1);
  private static final StoreIndex.PieceFilter FILTER = new StoreIndex.PieceFilter("tag-a", "v1");
  private static final List<PieceKeys.Piece> PIECES =
      List.of(
          new PieceKeys.Piece("p0", 10),
          new PieceKeys.Piece("p1", 10),
          new PieceKeys.Piece("p2", 10));

  private static StoreIndex index() {
    return new StoreIndex(10, RETRY_DELAY);
  }

  private static PieceManifest manifest(String pieceId, int position, String tag, String version) {
    return new PieceManifest(pieceId, pieceId + "-1", 5, "00", tag, version, 10, position);
  }

  private static int prefix(StoreIndex index, int from, Instant now) {
    return index.findPrefix(PIECES, from, FILTER, store -> !store.equals("dead"), now).size();
  }

  @Test
  public void findsContiguousPiecesBehindThoseHeld() {
    StoreIndex index = index();
    index.put("s1", manifest("p1", 1, "tag-a", "v1"), NOW);
    index.put("s2", manifest("p2", 2, "tag-a", "v1"), NOW);
    assertEquals(prefix(index, 0, NOW), 0);
    assertEquals(prefix(index, 1, NOW), 2);
  }

  @Test
  public void findsNothingOfAnotherOrganisation() {
    StoreIndex index = index();
    index.put("s1", manifest("p0", 0, "tag-b", "v1"), NOW);
    assertEquals(prefix(index, 0, NOW), 0);
  }

  @Test
  public void findsNothingOfAnotherWeightVersion() {
    StoreIndex index = index();
    index.put("s1", manifest("p0", 0, "tag-a", "v2"), NOW);
    assertEquals(prefix(index, 0, NOW), 0);
  }

  @Test
  public void findsNothingInUnusableStore() {
    StoreIndex index = index();
    index.put("dead", manifest("p0", 0, "tag-a", "v1"), NOW);
    assertEquals(prefix(index, 0, NOW), 0);
  }

  @Test
  public void skipsPieceUntilRetryDelayHasPassed() {
    StoreIndex index = index();
    PieceManifest manifest = manifest("p0", 0, "tag-a", "v1");
    index.put("s1", manifest, NOW);
    index.markImportFailed(new StoreIndex.StoredPiece("s1", manifest), NOW);
    assertEquals(prefix(index, 0, NOW.plus(RETRY_DELAY)), 0);
    assertEquals(prefix(index, 0, NOW.plus(RETRY_DELAY).plusMillis(1)), 1);
  }

  @Test
  public void rejectsManifestsOverLimit() {
    StoreIndex index = new StoreIndex(1, RETRY_DELAY);
    index.put("s1", manifest("p0", 0, "tag-a", "v1"), NOW);
    assertFalse(index.put("s1", manifest("p1", 1, "tag-a", "v1"), NOW));
    index.remove("s1", "p0");
    index.put("s1", manifest("p1", 1, "tag-a", "v1"), NOW);
    assertEquals(index.size(), 1);
  }

  @Test
  public void evictsUnusedPromptsFirstAndTheirLastPiecesFirst() {
    StoreIndex index = index();
    PieceManifest used = manifest("p0", 0, "tag-a", "v1");
    index.put("s1", used, NOW);
    index.put("s1", manifest("q0", 0, "tag-a", "v1"), NOW);
    index.put("s1", manifest("q1", 1, "tag-a", "v1"), NOW);
    index.markUsed(new StoreIndex.StoredPiece("s1", used), NOW.plusSeconds(1));
    List<String> order = index.evictionOrder("s1").stream().map(PieceManifest::pieceId).toList();
    assertEquals(order, List.of("q1", "q0", "p0"));
  }
}
