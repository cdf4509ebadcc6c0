package org.banyanspoke.bench.internal;

import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.FaultAction;
import org.banyanspoke.bench.Report;
import org.banyanspoke.bench.internal.JobOutcome.State;

/** Computes the figures defined in docs/bench.md from a measurement. */
public final class Evaluation {
    private static final long MAX_RATIO_THOUSANDTHS = 10_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Time after which a server that fails all tasks should receive no more tasks (design, section 1). */
    private static final double EJECTION_SECONDS = 1;

    private final BenchOptions options;
    private final Measurement measurement;
    private final List<JobOutcome> evaluatedOutcomes;
    private final Histogram ratios;

    /** Creates an evaluation and computes its response ratios. */
    public Evaluation(BenchOptions options, Measurement measurement) {
        this.options = options;
        this.measurement = measurement;
        long fromNanos = (long) (options.warmupSeconds() * NANOS_PER_SECOND);
        evaluatedOutcomes = measurement.outcomes().stream()
                .filter(outcome -> !outcome.job().load().flood())
                .filter(outcome -> outcome.job().arrivalNanos() >= fromNanos)
                .toList();
        ratios = computeRatios();
    }

    /** Returns the response ratios in thousandths. */
    public Histogram ratios() {
        return ratios;
    }

    /** Returns the number of evaluated jobs that completed within their promise. */
    public long completedWithinPromise() {
        return evaluatedOutcomes.stream().filter(JobOutcome::metPromise).count();
    }

    /**
     * Returns the report.
     *
     * @param completedWithoutFlood jobs completed within their promise in the reference run without the flood;
     *     null if there is no reference run
     */
    public Report report(Long completedWithoutFlood) {
        ControlOverhead control = ControlOverhead.of(measurement.before(), measurement.after());
        Map<String, Double> wasted = options.scenario().instant() ? null : wastedByKind();
        return new Report(
                options.scenario().name(),
                options.seed(),
                options.shape().name().toLowerCase(Locale.ROOT),
                options.policy(),
                options.scale(),
                measurement.topology().hosts(),
                measurement.topology().speeds().size(),
                options.seconds(),
                evaluatedOutcomes.size(),
                evaluatedOutcomes.stream()
                        .mapToLong(outcome -> outcome.job().tasks())
                        .sum(),
                ratio(50),
                ratio(90),
                ratio(99),
                wasted == null
                        ? null
                        : wasted.values().stream().mapToDouble(v -> v).sum(),
                wasted,
                completedWithoutFlood == null ? null : completedWithinPromise() / (double) completedWithoutFlood,
                evaluatedOutcomes.isEmpty() ? 0 : completedWithinPromise() / (double) evaluatedOutcomes.size(),
                measurement.after().ledgerCount("/duplicateStarts"),
                lostTasks(),
                measurement.outcomes().stream().filter(JobOutcome::partial).count(),
                measurement.ledger().countBetween(measuredFrom(), measuredUntil()) / options.seconds(),
                control.cpuPercent(),
                control.bytesPerSecond(),
                control.heapMegabytes(),
                hostCpuPercent(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                evaluatedOutcomes.stream().collect(countByLabel()),
                outcomesByTeam(),
                shareToFailingServer(),
                measurement.exitCodes(),
                measurement.faultErrors());
    }

    /** Computes the response ratios. The ideal model gets admitted jobs only, as refused jobs are not queued. */
    private Histogram computeRatios() {
        Histogram histogram = new Histogram(MAX_RATIO_THOUSANDTHS, 3);
        if (options.scenario().instant()) {
            return histogram;
        }
        Map<Integer, State> states = new HashMap<>();
        measurement.outcomes().forEach(outcome -> states.put(outcome.job().index(), outcome.state()));
        List<PlannedJob> admitted = measurement.jobs().stream()
                .filter(job -> states.get(job.index()) != State.REFUSED)
                .toList();
        Map<Integer, Double> ideal =
                new IdealModel(measurement.topology().speeds(), Topology.SLOTS_PER_SERVER).responseNanos(admitted);
        for (JobOutcome outcome : evaluatedOutcomes) {
            if (outcome.state() == State.COMPLETE) {
                double ratio = outcome.responseNanos() / ideal.get(outcome.job().index());
                histogram.recordValue(Math.min(MAX_RATIO_THOUSANDTHS, Math.round(ratio * 1_000)));
            }
        }
        return histogram;
    }

    private Double ratio(double percentile) {
        return ratios.getTotalCount() == 0 ? null : ratios.getValueAtPercentile(percentile) / 1_000.0;
    }

    private long lostTasks() {
        return measurement.outcomes().stream()
                .filter(outcome -> outcome.state() == State.LOST)
                .mapToLong(outcome -> outcome.job().tasks())
                .sum();
    }

    private Map<String, Map<String, Long>> outcomesByTeam() {
        return evaluatedOutcomes.stream()
                .collect(Collectors.groupingBy(outcome -> outcome.job().load().name(), TreeMap::new, countByLabel()));
    }

    private static Collector<JobOutcome, ?, Map<String, Long>> countByLabel() {
        return Collectors.collectingAndThen(
                Collectors.groupingBy(Evaluation::label, Collectors.counting()), TreeMap::new);
    }

    private static String label(JobOutcome outcome) {
        ErrorKind error = outcome.error();
        return error == null ? outcome.state().name() : error.name();
    }

    /** Returns wasted messages per task start. Each exchange that starts no task counts as a request and a response. */
    private Map<String, Double> wastedByKind() {
        double starts = Math.max(1, ledgerDelta("/starts"));
        long notStarted = ledgerDelta("/requests/TASK") - ledgerDelta("/starts");
        long backend = 2 * (notStarted + ledgerDelta("/requests/STOP") + ledgerDelta("/requests/HEALTH"));
        long platform = 2
                * (measurement.after().platformRequests() - measurement.before().platformRequests());
        Map<String, Double> wasted = new TreeMap<>();
        wasted.put("backend", backend / starts);
        wasted.put("platform", platform / starts);
        Double peer =
                ControlOverhead.of(measurement.before(), measurement.after()).peerMessages();
        if (peer != null) {
            wasted.put("peer", peer / starts);
        }
        return wasted;
    }

    private long ledgerDelta(String pointer) {
        return measurement.after().ledgerCount(pointer) - measurement.before().ledgerCount(pointer);
    }

    private double hostCpuPercent() {
        double cpuNanos = measurement
                .after()
                .hostCpu()
                .minus(measurement.before().hostCpu())
                .toNanos();
        double wallNanos = measurement.after().atNanos() - measurement.before().atNanos();
        return 100 * cpuNanos / wallNanos / measurement.topology().hosts();
    }

    private Double shareToFailingServer() {
        for (FaultAction fault : options.scenario().faults()) {
            if (fault.patch().containsKey("failEverything")) {
                double seconds = fault.at() * options.seconds() + EJECTION_SECONDS;
                long from = measuredFrom() + (long) (seconds * NANOS_PER_SECOND);
                long all = measurement.ledger().countBetween(from, measuredUntil());
                long failing = measurement.ledger().countBetween("b0", from, measuredUntil());
                return all == 0 ? null : failing / (double) all;
            }
        }
        return null;
    }

    private long measuredFrom() {
        return measurement.startNanos() + (long) (options.warmupSeconds() * NANOS_PER_SECOND);
    }

    private long measuredUntil() {
        return measuredFrom() + (long) (options.seconds() * NANOS_PER_SECOND);
    }
}
