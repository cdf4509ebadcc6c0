package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.AbstractHistogram;

/** Immutable snapshot of a {@link RollingWindowReservoir}, in the same unit. */
final class RollingWindowSnapshot extends Snapshot {
    private static final double PERCENT = 100;

    private final AbstractHistogram histogram;

    RollingWindowSnapshot(AbstractHistogram histogram) {
        this.histogram = histogram;
    }

    @Override
    public double getValue(double quantile) {
        return histogram.getValueAtPercentile(quantile * PERCENT);
    }

    @Override
    public long[] getValues() {
        long[] values = new long[size()];
        int next = 0;
        for (var entry : histogram.recordedValues()) {
            for (long i = 0; i < entry.getCountAtValueIteratedTo(); i++) {
                values[next++] = entry.getValueIteratedTo();
            }
        }
        return values;
    }

    @Override
    public int size() {
        return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
    }

    @Override
    public long getMax() {
        return histogram.getMaxValue();
    }

    @Override
    public double getMean() {
        return histogram.getMean();
    }

    @Override
    public long getMin() {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
    }

    @Override
    public double getStdDev() {
        return histogram.getStdDeviation();
    }

    @Override
    public void dump(OutputStream output) {
        new java.io.PrintStream(output, true, StandardCharsets.UTF_8).println(histogram.getTotalCount() + " values");
    }
}
