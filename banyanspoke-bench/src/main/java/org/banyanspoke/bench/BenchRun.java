package org.banyanspoke.bench;

import java.io.IOException;
import org.HdrHistogram.Histogram;
import org.banyanspoke.bench.internal.Evaluation;
import org.banyanspoke.bench.internal.Measurement;
import org.banyanspoke.bench.internal.ScenarioRun;

/** One measurement of a scenario. Set up and called once. */
public final class BenchRun {
    private final BenchOptions options;
    private Histogram ratios;

    /** Sets up a run; starts nothing. */
    public BenchRun(BenchOptions options) {
        this.options = options;
    }

    /**
     * Starts the processes, drives the load, ends the processes and evaluates. A scenario with a flood runs a second
     * time without it.
     *
     * @throws IOException if a process does not start
     */
    public Report call() throws IOException, InterruptedException {
        Measurement measured = new ScenarioRun(options).call();
        Evaluation evaluation = new Evaluation(options, measured);
        ratios = evaluation.ratios();
        if (!options.scenario().hasFlood()) {
            return evaluation.report(null);
        }
        BenchOptions calm = options.withScenario(options.scenario().withoutFlood());
        Evaluation reference = new Evaluation(calm, new ScenarioRun(calm).call());
        return evaluation.report(reference.completedInContract());
    }

    /** Returns the response ratios in thousandths after the call. */
    public Histogram ratios() {
        return ratios;
    }
}
