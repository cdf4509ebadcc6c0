package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots the response ratio by percentile. */
public final class RatioPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;

    private RatioPlot() {}

    /**
     * Writes a PNG file.
     *
     * @param ratios response ratios in thousandths
     * @param title title of the plot
     * @param file output file; {@code .png} is appended if it has another suffix
     * @throws IOException if there are no ratios to plot or the file cannot be written
     */
    public static void write(Histogram ratios, String title, Path file) throws IOException {
        if (ratios.getTotalCount() == 0) {
            throw new IOException("scenario " + title + " has no response ratios to plot");
        }
        System.setProperty("java.awt.headless", "true");
        List<Double> percentiles = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (double percentile = 0; percentile < 100; percentile += 0.5) {
            percentiles.add(percentile);
            values.add(ratios.getValueAtPercentile(percentile) / 1_000.0);
        }
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle("percentile of jobs")
                .yAxisTitle("response time / ideal")
                .build();
        chart.addSeries("response ratio", percentiles, values);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
