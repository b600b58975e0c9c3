package org.dragonflyhill.standins.replay;

import java.util.Locale;
import java.util.stream.Collectors;

/** Formats the table that {@code scripts/measure} prints. Stateless and thread-safe. */
final class Table {

  /** Names of the columns; times are in seconds. */
  static final String HEADER =
      String.format(
          Locale.ROOT,
          "%4s %-11s %-15s | %-17s | %-17s | %6s | %5s | %5s %5s | %5s | %6s %5s | %5s %5s | %5s |"
              + " %s",
          "load",
          "fault",
          "policy",
          "urgent 50/95/99",
          "all 50/95/99",
          "late95",
          "gap95",
          "comp",
          "again",
          "link",
          "good/s",
          "good",
          "jain",
          "least",
          "retry",
          "refused");

  private Table() {}

  /** Formats a row as a line of the table. */
  static String line(Row row) {
    String refusals =
        row.refusals().entrySet().stream()
            .map(entry -> entry.getKey().code() + "=" + entry.getValue())
            .collect(Collectors.joining(" "));
    return String.format(
        Locale.ROOT,
        "%4.0f %-11s %-15s | %5.2f %5.2f %5.2f | %5.2f %5.2f %5.2f | %6.2f | %5.3f | %5.3f %5.3f |"
            + " %5.3f | %6.1f %5.3f | %5.3f %5.3f | %5.3f | %s",
        row.load() * 100,
        row.fault(),
        row.policy(),
        row.urgentP50(),
        row.urgentP95(),
        row.urgentP99(),
        row.allP50(),
        row.allP95(),
        row.allP99(),
        row.lateP95(),
        row.gapP95(),
        row.computedShare(),
        row.repeatedShare(),
        row.linkUse(),
        row.goodPerSecond(),
        row.goodShare(),
        row.jain(),
        row.leastShare(),
        row.retryShare(),
        refusals);
  }
}
