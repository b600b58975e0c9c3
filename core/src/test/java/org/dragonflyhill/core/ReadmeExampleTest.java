package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests that the README example compiles, has the stated result and matches the README. */
public final class ReadmeExampleTest {

  private static final Path SOURCE =
      Path.of("src/test/java/org/dragonflyhill/core/ReadmeExampleTest.java");

  private static String chosenRunner() {
    // README example begins
    byte[] secret = "a key that all nodes share".getBytes(StandardCharsets.UTF_8);
    PieceKeys keys = new PieceKeys(secret, PieceKeys.DEFAULT_PIECE_TOKENS);
    var scope = new PieceKeys.Scope("granja-el-roble", "guardia", "", "v1");
    List<PieceKeys.Piece> pieces = keys.pieces(scope, "the shed log ".repeat(2_000));

    PieceIndex index = new PieceIndex();
    index.add("runner-2", pieces.getFirst().id());

    long cached = index.prefixPieces("runner-2", pieces) * 2_000L;
    var idle = new Placement.Candidate("runner-1", Duration.ZERO, Duration.ZERO, 0, 0, 1);
    var warm = new Placement.Candidate("runner-2", Duration.ZERO, Duration.ZERO, cached, 0, 1);
    var request = new Placement.Request(6_500, 8_000, 131_072);

    Placement placement = new Placement(new Placement.Weights(1.0, 1.0));
    String runner = placement.choose(request, List.of(idle, warm)).orElseThrow().runner();
    // README example ends
    return runner;
  }

  @Test
  public void choosesRunnerThatHoldsThePrompt() {
    assertEquals(chosenRunner(), "runner-2");
  }

  @Test
  public void readmeShowsThisExample() throws IOException {
    String example =
        Files.readAllLines(SOURCE).stream()
            .dropWhile(line -> !line.contains("// README example begins"))
            .skip(1)
            .takeWhile(line -> !line.contains("// README example ends"))
            .map(line -> line.isEmpty() ? line : line.substring(4))
            .collect(Collectors.joining("\n"));
    assertTrue(Files.readString(Path.of("../README.md")).contains(example), example);
  }
}
