package org.banyanspoke.bench.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Report;

/** Does the runs of a plan one after the other. Set up and called once. */
public final class Experiment {
    /** Does one run. */
    @FunctionalInterface
    public interface Runner {
        /**
         * Runs and returns the result.
         *
         * @throws IOException if a process does not start
         */
        Report run(BenchOptions options) throws IOException, InterruptedException;
    }

    private final List<BenchOptions> plan;
    private final Runner runner;
    private final LoadGate gate;
    private final RunJournal journal;

    /**
     * @param plan the runs in order; those in the journal are left out
     * @param runner does a run
     * @param gate waits before each run
     * @param journal receives the results
     */
    public Experiment(List<BenchOptions> plan, Runner runner, LoadGate gate, RunJournal journal) {
        this.plan = List.copyOf(plan);
        this.runner = runner;
        this.gate = gate;
        this.journal = journal;
    }

    /**
     * Does the runs that are missing in the journal. A run that fails is not recorded, so that a later call repeats it; the
     * others go on.
     *
     * @return the runs that failed, each with its reason
     * @throws IOException if the journal cannot be written
     */
    public List<String> call() throws IOException, InterruptedException {
        List<String> failures = new ArrayList<>();
        for (BenchOptions options : plan) {
            RunKey key = RunKey.of(options);
            if (journal.contains(key)) {
                continue;
            }
            double load = gate.await();
            Optional<Report> report = run(options, failures);
            if (report.isPresent()) {
                journal.add(new RunRecord(key, load, report.get()));
            }
        }
        return failures;
    }

    private Optional<Report> run(BenchOptions options, List<String> failures) throws InterruptedException {
        try {
            return Optional.of(runner.run(options));
        } catch (IOException e) {
            failures.add(RunKey.of(options) + ": " + e.getMessage());
            return Optional.empty();
        }
    }
}
