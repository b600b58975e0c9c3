package org.dragonflyhill.standins.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Plots results against the load, with one line per policy. Stateless and thread-safe. */
final class Plots {

  private static final int WIDTH = 800;
  private static final int HEIGHT = 500;

  private Plots() {}

  /** Writes the plots of all deployments in the rows to a folder. */
  static void write(List<Row> rows, Path folder) throws IOException {
    Files.createDirectories(folder);
    for (String deployment : rows.stream().map(Row::deployment).distinct().toList()) {
      List<Row> deploymentRows =
          rows.stream().filter(row -> row.deployment().equals(deployment)).toList();
      draw(
          deploymentRows,
          folder,
          "first-token-urgent",
          "first token p95 of urgent work, s",
          Row::urgentP95);
      draw(
          deploymentRows, folder, "first-token-all", "first token p95 of all work, s", Row::allP95);
      draw(
          deploymentRows,
          folder,
          "computed-share",
          "prompt tokens computed, part",
          Row::computedShare);
      draw(deploymentRows, folder, "goodput", "answers within deadline, 1/s", Row::goodPerSecond);
    }
  }

  private static void draw(
      List<Row> rows, Path folder, String file, String axis, ToDoubleFunction<Row> value)
      throws IOException {
    String deployment = rows.getFirst().deployment();
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(deployment + ": " + axis)
            .xAxisTitle("offered load, % of capacity")
            .yAxisTitle(axis)
            .theme(Styler.ChartTheme.Matlab)
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    chart.getStyler().setLocale(Locale.ROOT);
    List<Row> rowsWithoutFault =
        rows.stream().filter(row -> row.fault().equals(Fault.NONE.label())).toList();
    for (String policy : rowsWithoutFault.stream().map(Row::policy).distinct().toList()) {
      List<Row> policyRows =
          rowsWithoutFault.stream().filter(row -> row.policy().equals(policy)).toList();
      chart.addSeries(
          policy,
          policyRows.stream().mapToDouble(row -> row.load() * 100).toArray(),
          policyRows.stream().mapToDouble(value).toArray());
    }
    BitmapEncoder.saveBitmap(
        chart, folder.resolve(deployment + "-" + file).toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
