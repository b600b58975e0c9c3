package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link PieceKeys}. */
public final class PieceKeysTest {

  private static final int PIECE_TOKENS = 4;
  private static final String PROMPT = "x".repeat(3 * PIECE_TOKENS * PieceKeys.BYTES_PER_TOKEN);
  private static final PieceKeys KEYS = keys("0123456789abcdef");

  private static PieceKeys keys(String secret) {
    return new PieceKeys(secret.getBytes(StandardCharsets.UTF_8), PIECE_TOKENS);
  }

  @Test
  public void everyScopeComponentChangesAllIds() {
    List<PieceKeys.Scope> scopes =
        List.of(
            new PieceKeys.Scope("a", "m", "", "v1"),
            new PieceKeys.Scope("b", "m", "", "v1"),
            new PieceKeys.Scope("a", "n", "", "v1"),
            new PieceKeys.Scope("a", "m", "x", "v1"),
            new PieceKeys.Scope("a", "m", "", "v2"),
            // Same characters as the first scope, split differently.
            new PieceKeys.Scope("am", "", "", "v1"));
    Set<String> ids = new HashSet<>();
    scopes.forEach(scope -> KEYS.pieces(scope, PROMPT).forEach(piece -> ids.add(piece.id())));
    assertEquals(ids.size(), scopes.size() * 3);
  }

  @Test
  public void idsDoNotDependOnLaterText() {
    PieceKeys.Scope scope = new PieceKeys.Scope("a", "m", "", "v1");
    List<PieceKeys.Piece> longer = KEYS.pieces(scope, PROMPT + "more of the history");
    assertEquals(longer.subList(0, 3), KEYS.pieces(scope, PROMPT));
  }

  @Test
  public void tagsDependOnSecretAndOrganisation() {
    String tag = KEYS.organisationTag("a");
    assertNotEquals(keys("fedcba9876543210").organisationTag("a"), tag);
    assertNotEquals(KEYS.organisationTag("b"), tag);
    assertTrue(tag.matches("[0-9a-f]{64}"), tag);
  }
}
