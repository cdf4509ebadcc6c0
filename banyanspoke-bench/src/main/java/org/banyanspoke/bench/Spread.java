package org.banyanspoke.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Function;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/**
 * Summary statistics of several runs with different seeds.
 *
 * @param scenario scenario name
 * @param seeds seeds of the runs
 * @param figures minimum, median and maximum of each figure
 */
public record Spread(String scenario, List<Long> seeds, Map<String, Range> figures) {
    private static final Map<String, Function<Report, Double>> FIGURES = Map.ofEntries(
            Map.entry("responseRatioP50", Report::responseRatioP50),
            Map.entry("responseRatioP99", Report::responseRatioP99),
            Map.entry("wastedMessagesPerTask", Report::wastedMessagesPerTask),
            Map.entry("keptServiceRatio", Report::keptServiceRatio),
            Map.entry("contractsMet", Report::contractsMet),
            Map.entry("duplicateStarts", report -> (double) report.duplicateStarts()),
            Map.entry("lostTasks", report -> (double) report.lostTasks()),
            Map.entry("partialAnswers", report -> (double) report.partialAnswers()),
            Map.entry("startsPerSecond", Report::startsPerSecond),
            Map.entry("controlCpuPercent", Report::controlCpuPercent),
            Map.entry("controlBytesPerSecond", Report::controlBytesPerSecond),
            Map.entry("controlHeapMegabytes", Report::controlHeapMegabytes),
            Map.entry("shareToFailingServer", Report::shareToFailingServer));

    /** Makes defensive copies of the collections. */
    public Spread {
        seeds = List.copyOf(seeds);
        figures = new TreeMap<>(figures);
    }

    /**
     * Minimum, median and maximum of a figure.
     *
     * @param min minimum
     * @param median median
     * @param max maximum
     */
    public record Range(double min, double median, double max) {}

    /** Summarizes one or more reports of the same scenario. */
    public static Spread of(List<Report> reports) {
        Map<String, Range> figures = new TreeMap<>();
        FIGURES.forEach((name, figure) -> {
            List<Double> values =
                    reports.stream().map(figure).filter(Objects::nonNull).toList();
            if (!values.isEmpty()) {
                figures.put(name, range(values));
            }
        });
        List<Long> seeds = new ArrayList<>();
        reports.forEach(report -> seeds.add(report.seed()));
        return new Spread(reports.get(0).scenario(), seeds, figures);
    }

    private static Range range(List<Double> values) {
        DescriptiveStatistics statistics = new DescriptiveStatistics();
        values.forEach(statistics::addValue);
        return new Range(statistics.getMin(), statistics.getPercentile(50), statistics.getMax());
    }
}
