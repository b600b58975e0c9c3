package org.dragonflyhill.ports;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Flux;

/**
 * Splits a stream of byte blocks into lines of UTF-8 text. Not thread-safe; each stream needs its
 * own instance.
 */
final class LineSplitter {

  /** Maximum length of a line in bytes. A longer line ends the stream with an error. */
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

  private LineSplitter() {}

  static Flux<String> lines(Flux<byte[]> blocks) {
    return Flux.defer(
        () -> {
          LineSplitter splitter = new LineSplitter();
          return blocks.concatMapIterable(splitter::split);
        });
  }

  private List<String> split(byte[] block) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < block.length; i++) {
      if (block[i] == '\n') {
        pending.write(block, start, i - start);
        lines.add(pending.toString(StandardCharsets.UTF_8));
        pending.reset();
        start = i + 1;
      }
    }
    pending.write(block, start, block.length - start);
    if (pending.size() > MAX_LINE_BYTES) {
      throw new IllegalStateException("line exceeds " + MAX_LINE_BYTES + " bytes");
    }
    return lines;
  }
}
