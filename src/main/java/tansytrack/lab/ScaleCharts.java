package tansytrack.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import tansytrack.lab.scale.ScaleResult;

/** The charts of scale runs. */
final class ScaleCharts {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 520;

  private ScaleCharts() {}

  /** The work of each engine over the mean, in order. */
  static void work(ScaleResult result, Path folder) throws IOException {
    double[] work =
        result.engines().stream().mapToDouble(one -> one.workNanos()).sorted().toArray();
    double mean = IntStream.range(0, work.length).mapToDouble(i -> work[i]).average().orElse(1);
    double[] over = new double[work.length];
    for (int i = 0; i < work.length; i++) {
      over[i] = work[i] / Math.max(1, mean);
    }
    XYChart chart = chart("Work over the engines", "engines, least work first", "work over mean");
    chart.addSeries("work", numbers(over.length), over).setMarker(SeriesMarkers.NONE);
    save(chart, folder.resolve("work.png"));
  }

  /** The share answered in time, by second. */
  static void inTime(ScaleResult result, Path folder) throws IOException {
    double[] shares = result.inTimeShares();
    XYChart chart = chart("Answered in time", "second in which statements came", "share");
    chart.addSeries("in time", numbers(shares.length), shares).setMarker(SeriesMarkers.NONE);
    save(chart, folder.resolve("in-time.png"));
  }

  /** Counts by size, both logarithmic. */
  static void slopes(double[] sizes, Map<String, double[]> counts, Path folder) throws IOException {
    XYChart chart = chart("Counts by size", "size", "count");
    chart.getStyler().setXAxisLogarithmic(true);
    chart.getStyler().setYAxisLogarithmic(true);
    counts.forEach(
        (name, figures) -> {
          if (IntStream.range(0, figures.length).allMatch(i -> figures[i] > 0)) {
            chart.addSeries(name, sizes, figures);
          }
        });
    save(chart, folder.resolve("slopes.png"));
  }

  private static double[] numbers(int count) {
    return IntStream.range(0, count).asDoubleStream().toArray();
  }

  private static XYChart chart(String title, String sizes, String figure) {
    return new XYChartBuilder()
        .width(WIDTH)
        .height(HEIGHT)
        .title(title)
        .xAxisTitle(sizes)
        .yAxisTitle(figure)
        .build();
  }

  private static void save(XYChart chart, Path to) throws IOException {
    BitmapEncoder.saveBitmap(chart, to.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
