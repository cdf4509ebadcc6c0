package org.banyanspoke.bench.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Report;

/** Executes planned runs sequentially. An instance is used for one call. */
public final class Experiment {
    /** Executes a run. */
    @FunctionalInterface
    public interface Runner {
        /**
         * Executes a run and returns its report.
         *
         * @throws IOException if a process fails to start
         */
        Report run(BenchOptions options) throws IOException, InterruptedException;
    }

    private final List<BenchOptions> plan;
    private final Runner runner;
    private final LoadAverageGate gate;
    private final RunJournal journal;

    /**
     * @param plan runs in order of execution; those already in the journal are skipped
     * @param runner executes a run
     * @param gate delays each run until the load average is below the limit
     * @param journal stores the results
     */
    public Experiment(List<BenchOptions> plan, Runner runner, LoadAverageGate gate, RunJournal journal) {
        this.plan = List.copyOf(plan);
        this.runner = runner;
        this.gate = gate;
        this.journal = journal;
    }

    /**
     * Executes the runs that are not in the journal. A failed run is not recorded, so a resumed experiment repeats it;
     * the remaining runs continue.
     *
     * @return failed runs with their error messages
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
