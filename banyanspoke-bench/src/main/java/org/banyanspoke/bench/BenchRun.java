package org.banyanspoke.bench;

import java.io.IOException;
import org.HdrHistogram.Histogram;
import org.banyanspoke.bench.internal.Evaluation;
import org.banyanspoke.bench.internal.Measurement;
import org.banyanspoke.bench.internal.ScenarioRun;

/** Measures a scenario. An instance is used for one call. */
public final class BenchRun {
    private final BenchOptions options;
    private Histogram ratios;

    /** Creates a run without starting any process. */
    public BenchRun(BenchOptions options) {
        this.options = options;
    }

    /**
     * Starts the processes, generates the load, stops the processes and evaluates the results. A scenario with a flood
     * is run again without it as the reference.
     *
     * @throws IOException if a process fails to start
     */
    public Report call() throws IOException, InterruptedException {
        Measurement measured = new ScenarioRun(options).call();
        Evaluation evaluation = new Evaluation(options, measured);
        ratios = evaluation.ratios();
        if (!options.scenario().hasFlood()) {
            return evaluation.report(null);
        }
        BenchOptions withoutFlood = options.withScenario(options.scenario().withoutFlood());
        Evaluation reference = new Evaluation(withoutFlood, new ScenarioRun(withoutFlood).call());
        return evaluation.report(reference.completedWithinPromise());
    }

    /** Returns the response ratios in thousandths; available after {@link #call()}. */
    public Histogram ratios() {
        return ratios;
    }
}
