package org.banyanspoke.bench.experiment;

import org.banyanspoke.bench.Report;

/**
 * A run that has ended.
 *
 * @param key what was run
 * @param loadAverageBefore load average of the machine over one minute before the run
 * @param report the result
 */
public record RunRecord(RunKey key, double loadAverageBefore, Report report) {}
