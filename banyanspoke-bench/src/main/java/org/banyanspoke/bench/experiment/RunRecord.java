package org.banyanspoke.bench.experiment;

import org.banyanspoke.bench.Report;

/**
 * A completed run.
 *
 * @param key parameters of the run
 * @param loadAverageBefore one-minute load average of the machine before the run
 * @param report results of the run
 */
public record RunRecord(RunKey key, double loadAverageBefore, Report report) {}
