package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;

/** Measures memory use and lookup time of the cache indexes at several sizes (docs/CAPACITY.md). */
public final class CacheIndexBenchmark {

  private static final int RUNNERS = 3_300;
  private static final int PIECES_PER_PROMPT = 10;
  private static final int LOOKUPS = 2_000;
  private static final int WARM_UP_LOOKUPS = 200;
  private static final int[] PROMPT_COUNTS = {31_000, 77_500, 155_000, 310_000};
  private static final int[] MANIFEST_COUNTS = {12_500, 25_000, 50_000};

  private CacheIndexBenchmark() {}

  /** Prints one line per index and size. */
  public static void main(String[] args) {
    for (int prompts : PROMPT_COUNTS) {
      measurePieceIndex(prompts);
    }
    for (int manifests : MANIFEST_COUNTS) {
      measureStoreIndex(manifests);
    }
  }

  private static void measurePieceIndex(int prompts) {
    Random random = new Random(1);
    long before = usedBytes();
    PieceIndex index = new PieceIndex();
    List<long[]> queries = new ArrayList<>();
    for (int prompt = 0; prompt < prompts; prompt++) {
      String holder = "runner-" + random.nextInt(RUNNERS);
      List<PieceKeys.Piece> pieces = pieces(random);
      pieces.forEach(piece -> index.add(holder, piece.id()));
      if (queries.size() < LOOKUPS) {
        queries.add(PieceIndex.fingerprints(pieces));
      }
    }
    final long bytes = usedBytes() - before;
    List<String> names = new ArrayList<>();
    for (int runner = 0; runner < RUNNERS; runner++) {
      names.add("runner-" + runner);
    }
    long hits = lookUp(index, names, queries.subList(0, WARM_UP_LOOKUPS));
    long start = System.nanoTime();
    hits += lookUp(index, names, queries);
    double nanos = (System.nanoTime() - start) / (double) LOOKUPS;
    System.out.printf(
        "piece index: prompts %d entries %d bytes/entry %.1f us/prompt over %d runners %.1f"
            + " ns/runner %.1f (hits %d)%n",
        prompts,
        index.size(),
        bytes / (double) index.size(),
        RUNNERS,
        nanos / 1_000,
        nanos / RUNNERS,
        hits);
  }

  private static long lookUp(PieceIndex index, List<String> names, List<long[]> queries) {
    long hits = 0;
    for (long[] fingerprints : queries) {
      for (String name : names) {
        hits += index.prefixPieces(name, fingerprints);
      }
    }
    return hits;
  }

  private static void measureStoreIndex(int manifests) {
    Random random = new Random(1);
    final Instant now = Instant.ofEpochSecond(1_000);
    long before = usedBytes();
    StoreIndex index = new StoreIndex(manifests, Duration.ofMinutes(1));
    List<List<PieceKeys.Piece>> queries = new ArrayList<>();
    for (int prompt = 0; prompt < manifests / PIECES_PER_PROMPT; prompt++) {
      List<PieceKeys.Piece> pieces = pieces(random);
      pieces.forEach(piece -> index.put("store-" + random.nextInt(4), manifest(piece), now));
      queries.add(pieces);
    }
    final long bytes = usedBytes() - before;
    var filter = new StoreIndex.PieceFilter("t".repeat(64), "v1");
    long hits = 0;
    long start = System.nanoTime();
    for (List<PieceKeys.Piece> pieces : queries) {
      hits += index.findPrefix(pieces, 0, filter, store -> true, now).size();
    }
    double micros = (System.nanoTime() - start) / 1e3 / queries.size();
    System.out.printf(
        "store index: manifests %d bytes/manifest %.1f us/prompt %.2f (hits %d)%n",
        index.size(), bytes / (double) index.size(), micros, hits);
  }

  private static PieceManifest manifest(PieceKeys.Piece piece) {
    // Every manifest gets its own copies of the strings, as when it is parsed from JSON.
    String tag = new String("t".repeat(64).toCharArray());
    String version = new String(new char[] {'v', '1'});
    String name = piece.id() + "-0123456789ab-cdef-0123-456789abcdef";
    String digest = new StringBuilder(piece.id()).reverse().toString();
    return new PieceManifest(piece.id(), name, 2_000_000, digest, tag, version, 2_000, 0);
  }

  private static List<PieceKeys.Piece> pieces(Random random) {
    List<PieceKeys.Piece> pieces = new ArrayList<>();
    for (int i = 0; i < PIECES_PER_PROMPT; i++) {
      byte[] id = new byte[32];
      random.nextBytes(id);
      pieces.add(new PieceKeys.Piece(HexFormat.of().formatHex(id), 2_000));
    }
    return pieces;
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
