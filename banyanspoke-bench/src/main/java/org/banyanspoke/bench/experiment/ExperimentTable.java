package org.banyanspoke.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.banyanspoke.bench.Shape;
import org.banyanspoke.bench.Spread;

/** Formats runs as Markdown: one table per scenario, with a column per policy and the ratio of the medians. */
public final class ExperimentTable {
    private static final String NO_VALUE = "-";

    private record Group(
            String scenario, Shape shape, double seconds, double warmupSeconds, double scale, boolean networkDelay) {
        static Group of(RunRecord run) {
            RunKey key = run.key();
            return new Group(
                    key.scenario(), key.shape(), key.seconds(), key.warmupSeconds(), key.scale(), key.networkDelay());
        }
    }

    private final List<RunRecord> runs;
    private final List<String> policies;

    /**
     * @param runs runs to format
     * @param policies column order; the ratio is that of the last policy to the first
     */
    public ExperimentTable(List<RunRecord> runs, List<String> policies) {
        this.runs = List.copyOf(runs);
        this.policies = List.copyOf(policies);
    }

    /** Returns the Markdown text. */
    public String toMarkdown() {
        Map<Group, List<RunRecord>> groups =
                runs.stream().collect(Collectors.groupingBy(Group::of, LinkedHashMap::new, Collectors.toList()));
        StringBuilder text = new StringBuilder();
        groups.forEach((group, groupRuns) -> write(group, groupRuns, text));
        return text.toString();
    }

    private void write(Group group, List<RunRecord> groupRuns, StringBuilder text) {
        text.append("### ").append(group.scenario()).append("\n\n");
        text.append(String.format(
                Locale.ROOT,
                "Site %s, scale %s, %s s after %s s of warm-up%s; minimum / median / maximum.%n%n",
                group.shape().name().toLowerCase(Locale.ROOT),
                group.scale(),
                group.seconds(),
                group.warmupSeconds(),
                group.networkDelay() ? ", with network delay" : ""));
        Map<String, Spread> spreads = spreads(groupRuns);
        text.append("| figure |");
        policies.forEach(policy -> text.append(' ').append(policy).append(" |"));
        text.append(hasRatio() ? " ratio of medians |\n" : "\n");
        text.append("|---|").append("---|".repeat(policies.size())).append(hasRatio() ? "---|\n" : "\n");
        TreeSet<String> figures = new TreeSet<>();
        spreads.values().forEach(spread -> figures.addAll(spread.figures().keySet()));
        figures.forEach(figure -> writeRow(figure, spreads, text));
        text.append('\n');
        policies.forEach(policy -> writeRuns(policy, groupRuns, text));
        text.append('\n');
    }

    private boolean hasRatio() {
        return policies.size() > 1;
    }

    private Map<String, Spread> spreads(List<RunRecord> groupRuns) {
        Map<String, Spread> spreads = new LinkedHashMap<>();
        for (String policy : policies) {
            List<RunRecord> policyRuns = runsOfPolicy(policy, groupRuns);
            if (!policyRuns.isEmpty()) {
                spreads.put(
                        policy,
                        Spread.of(policyRuns.stream().map(RunRecord::report).toList()));
            }
        }
        return spreads;
    }

    private static List<RunRecord> runsOfPolicy(String policy, List<RunRecord> groupRuns) {
        return groupRuns.stream()
                .filter(run -> run.key().policy().equals(policy))
                .toList();
    }

    private void writeRow(String figure, Map<String, Spread> spreads, StringBuilder text) {
        text.append("| `").append(figure).append("` |");
        List<Spread.Range> ranges = new ArrayList<>();
        for (String policy : policies) {
            Spread spread = spreads.get(policy);
            Spread.Range range = spread == null ? null : spread.figures().get(figure);
            ranges.add(range);
            text.append(' ').append(cell(range)).append(" |");
        }
        if (hasRatio()) {
            text.append(' ')
                    .append(ratio(ranges.get(0), ranges.get(ranges.size() - 1)))
                    .append(" |");
        }
        text.append('\n');
    }

    private static String cell(Spread.Range range) {
        return range == null
                ? NO_VALUE
                : number(range.min()) + " / " + number(range.median()) + " / " + number(range.max());
    }

    private static String ratio(Spread.Range from, Spread.Range to) {
        return from == null || to == null || from.median() == 0 ? NO_VALUE : number(to.median() / from.median());
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : "%.3f", value);
    }

    private static void writeRuns(String policy, List<RunRecord> groupRuns, StringBuilder text) {
        String list = runsOfPolicy(policy, groupRuns).stream()
                .map(run -> String.format(Locale.ROOT, "%d (%.1f)", run.key().seed(), run.loadAverageBefore()))
                .collect(Collectors.joining(", "));
        text.append(String.format(
                "- %s, seeds with the load average before the run: %s%n", policy, list.isEmpty() ? NO_VALUE : list));
    }
}
