package org.dragonflyhill.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.Json;

/**
 * Prints results as a table or as JSON.
 *
 * <p>Thread-safe if the stream is thread-safe; no argument may be null.
 */
final class Output {

  private static final String GAP = "  ";

  private final PrintStream stream;
  private final Format format;

  Output(PrintStream stream, Format format) {
    this.stream = stream;
    this.format = format;
  }

  /** Prints a value as JSON, or the given table instead, according to the format. */
  void print(Object value, Table table) {
    List<String> lines =
        switch (format) {
          case JSON -> List.of(Json.write(value));
          case TABLE -> table.lines();
        };
    lines.forEach(stream::println);
  }

  /** Format of the output. */
  enum Format {
    /** A table with aligned columns. */
    TABLE,
    /** A single JSON value. */
    JSON
  }

  /**
   * A table of text cells.
   *
   * @param header names of the columns; empty for a table without a header
   * @param rows cells of each row
   */
  record Table(List<String> header, List<List<String>> rows) {

    /** Returns a table that prints as one line of text. */
    static Table text(String line) {
      return new Table(List.of(), List.of(List.of(line)));
    }

    List<String> lines() {
      List<List<String>> all = new ArrayList<>();
      if (!header.isEmpty()) {
        all.add(header);
      }
      all.addAll(rows);
      int[] widths = widths(all);
      return all.stream().map(row -> line(row, widths)).toList();
    }

    private static int[] widths(List<List<String>> rows) {
      int columns = rows.stream().mapToInt(List::size).max().orElse(0);
      int[] widths = new int[columns];
      for (List<String> row : rows) {
        for (int i = 0; i < row.size(); i++) {
          widths[i] = Math.max(widths[i], row.get(i).length());
        }
      }
      return widths;
    }

    private static String line(List<String> row, int[] widths) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        line.append(row.get(i));
        line.append(" ".repeat(widths[i] - row.get(i).length()));
        line.append(GAP);
      }
      return line.toString().stripTrailing();
    }
  }
}
