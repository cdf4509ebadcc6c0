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

/** Computes the figures of docs/bench.md from a measurement. */
public final class Evaluation {
    private static final long MAX_RATIO_THOUSANDTHS = 10_000_000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Time after which a server that fails everything should get no more work (design, section 1). */
    private static final double EJECTION_SECONDS = 1;

    private final BenchOptions options;
    private final Measurement run;
    private final List<JobOutcome> measured;
    private final Histogram ratios;

    /** Evaluates a measurement. */
    public Evaluation(BenchOptions options, Measurement run) {
        this.options = options;
        this.run = run;
        long fromNanos = (long) (options.warmupSeconds() * NANOS_PER_SECOND);
        measured = run.outcomes().stream()
                .filter(outcome -> !outcome.job().load().flood())
                .filter(outcome -> outcome.job().arrivalNanos() >= fromNanos)
                .toList();
        ratios = computeRatios();
    }

    /** Returns the response ratios in thousandths. */
    public Histogram ratios() {
        return ratios;
    }

    /** Returns the number of jobs outside the flood that completed within their promise. */
    public long completedInContract() {
        return measured.stream().filter(JobOutcome::metContract).count();
    }

    /**
     * Returns the report.
     *
     * @param completedWithoutFlood jobs completed within contract in the run without the flood; null if there is none
     */
    public Report report(Long completedWithoutFlood) {
        ControlFigures control = ControlFigures.of(run.before(), run.after());
        Map<String, Double> wasted = options.scenario().instant() ? null : wastedByKind();
        return new Report(
                options.scenario().name(),
                options.seed(),
                options.shape().name().toLowerCase(Locale.ROOT),
                options.policy(),
                options.scale(),
                run.topology().hosts(),
                run.topology().speeds().size(),
                options.seconds(),
                measured.size(),
                measured.stream().mapToLong(outcome -> outcome.job().tasks()).sum(),
                ratio(50),
                ratio(90),
                ratio(99),
                wasted == null
                        ? null
                        : wasted.values().stream().mapToDouble(v -> v).sum(),
                wasted,
                completedWithoutFlood == null ? null : completedInContract() / (double) completedWithoutFlood,
                measured.isEmpty() ? 0 : completedInContract() / (double) measured.size(),
                run.after().ledgerCount("/duplicateStarts"),
                lostTasks(),
                run.outcomes().stream().filter(JobOutcome::partial).count(),
                run.ledger().between(measuredFrom(), measuredUntil()) / options.seconds(),
                control.cpuPercent(),
                control.bytesPerSecond(),
                control.heapMegabytes(),
                hostCpuPercent(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                measured.stream().collect(byKind()),
                outcomesByTeam(),
                shareToFailingServer(),
                run.exitCodes(),
                run.faultErrors());
    }

    /** The ideal has the jobs that were admitted: a refused job is in no queue. */
    private Histogram computeRatios() {
        Histogram histogram = new Histogram(MAX_RATIO_THOUSANDTHS, 3);
        if (options.scenario().instant()) {
            return histogram;
        }
        Map<Integer, State> states = new HashMap<>();
        run.outcomes().forEach(outcome -> states.put(outcome.job().index(), outcome.state()));
        List<PlannedJob> admitted = run.jobs().stream()
                .filter(job -> states.get(job.index()) != State.REFUSED)
                .toList();
        Map<Integer, Double> ideal = new IdealModel(run.topology().speeds(), Topology.SLOTS).responseNanos(admitted);
        for (JobOutcome outcome : measured) {
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
        return run.outcomes().stream()
                .filter(outcome -> outcome.state() == State.LOST)
                .mapToLong(outcome -> outcome.job().tasks())
                .sum();
    }

    private Map<String, Map<String, Long>> outcomesByTeam() {
        return measured.stream()
                .collect(Collectors.groupingBy(outcome -> outcome.job().load().name(), TreeMap::new, byKind()));
    }

    private static Collector<JobOutcome, ?, Map<String, Long>> byKind() {
        return Collectors.collectingAndThen(
                Collectors.groupingBy(Evaluation::label, Collectors.counting()), TreeMap::new);
    }

    private static String label(JobOutcome outcome) {
        ErrorKind error = outcome.error();
        return error == null ? outcome.state().name() : error.name();
    }

    /** Each exchange that is not a start is a request and a response. */
    private Map<String, Double> wastedByKind() {
        double starts = Math.max(1, delta("/starts"));
        long unstarted = delta("/requests/TASK") - delta("/starts");
        long backend = 2 * (unstarted + delta("/requests/STOP") + delta("/requests/HEALTH"));
        long platform = 2 * (run.after().platformRequests() - run.before().platformRequests());
        Map<String, Double> wasted = new TreeMap<>();
        wasted.put("backend", backend / starts);
        wasted.put("platform", platform / starts);
        Double peer = ControlFigures.of(run.before(), run.after()).peerMessages();
        if (peer != null) {
            wasted.put("peer", peer / starts);
        }
        return wasted;
    }

    private long delta(String pointer) {
        return run.after().ledgerCount(pointer) - run.before().ledgerCount(pointer);
    }

    private double hostCpuPercent() {
        double cpuNanos = run.after().hostCpu().minus(run.before().hostCpu()).toNanos();
        double wallNanos = run.after().atNanos() - run.before().atNanos();
        return 100 * cpuNanos / wallNanos / run.topology().hosts();
    }

    private Double shareToFailingServer() {
        for (FaultAction fault : options.scenario().faults()) {
            if (fault.patch().containsKey("failEverything")) {
                double seconds = fault.at() * options.seconds() + EJECTION_SECONDS;
                long from = measuredFrom() + (long) (seconds * NANOS_PER_SECOND);
                long all = run.ledger().between(from, measuredUntil());
                long failing = run.ledger().between("b0", from, measuredUntil());
                return all == 0 ? null : failing / (double) all;
            }
        }
        return null;
    }

    private long measuredFrom() {
        return run.startNanos() + (long) (options.warmupSeconds() * NANOS_PER_SECOND);
    }

    private long measuredUntil() {
        return measuredFrom() + (long) (options.seconds() * NANOS_PER_SECOND);
    }
}
