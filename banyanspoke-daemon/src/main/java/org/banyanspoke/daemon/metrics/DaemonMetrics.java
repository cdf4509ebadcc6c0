package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Counters and latency histograms of a daemon.
 *
 * <p>Memory: three histograms for each of 3 urgency classes and up to {@value #MAX_TEAMS} teams, each with two windows
 * of at most 9 KB. With the 140 teams of the design this is at most 143 x 3 x 2 x 9 KB = 7.7 MB.
 */
public final class DaemonMetrics implements DispatcherListener {
    /** Bounds memory; further teams share one set of histograms. The system is designed for 140 teams. */
    static final int MAX_TEAMS = 200;

    static final String OTHER_TEAMS = "team.(other)";

    private final MetricRegistry registry;
    private final MonotonicClock clock;
    private final Map<UrgencyClass, LatencyHistograms> classes = new EnumMap<>(UrgencyClass.class);
    private final List<Supplier<Map<String, Long>>> counterSources = new CopyOnWriteArrayList<>();
    /** Confined to the dispatch thread. */
    private final Map<TeamId, LatencyHistograms> teams = new HashMap<>();

    /**
     * @param registry receives the counters and histograms
     * @param clock measures the histogram windows
     */
    public DaemonMetrics(MetricRegistry registry, MonotonicClock clock) {
        this.registry = registry;
        this.clock = clock;
        for (UrgencyClass urgency : UrgencyClass.values()) {
            String prefix = "class." + urgency.name().toLowerCase(Locale.ROOT);
            classes.put(urgency, LatencyHistograms.register(registry, prefix, clock));
        }
    }

    /**
     * Metrics report, served as JSON.
     *
     * @param unit unit of the histograms
     * @param windowSeconds minimum time span covered by the quantiles
     * @param counters counter values by metric name
     * @param histograms histograms by metric name
     */
    public record Report(
            String unit, long windowSeconds, Map<String, Long> counters, Map<String, Quantiles> histograms) {}

    /**
     * Statistics of a histogram over its window.
     *
     * @param count recorded values since the start of the process
     * @param windowCount recorded values within the window
     * @param mean mean in milliseconds
     * @param p50 median in milliseconds
     * @param p90 90th percentile in milliseconds
     * @param p99 99th percentile in milliseconds
     * @param max maximum in milliseconds
     */
    public record Quantiles(long count, int windowCount, double mean, double p50, double p90, double p99, double max) {
        private static final double UNITS_PER_MILLI = 1_000.0 / RollingWindowReservoir.UNIT_MICROS;

        static Quantiles of(Histogram histogram) {
            Snapshot windowSnapshot = histogram.getSnapshot();
            return new Quantiles(
                    histogram.getCount(),
                    windowSnapshot.size(),
                    windowSnapshot.getMean() / UNITS_PER_MILLI,
                    windowSnapshot.getMedian() / UNITS_PER_MILLI,
                    windowSnapshot.getValue(0.9) / UNITS_PER_MILLI,
                    windowSnapshot.get99thPercentile() / UNITS_PER_MILLI,
                    windowSnapshot.getMax() / UNITS_PER_MILLI);
        }
    }

    /** Counts an error response. Thread safe. */
    public void countErrorResponse(ErrorKind kind) {
        registry.counter("http.errors." + kind).inc();
    }

    /** Adds a source of counters that each report reads, on the thread that calls {@link #report}. Thread safe. */
    public void addCounters(Supplier<Map<String, Long>> source) {
        counterSources.add(source);
    }

    /** Returns the current values of all metrics. Thread safe. */
    public Report report() {
        Map<String, Long> counters = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        counterSources.forEach(source -> counters.putAll(source.get()));
        Map<String, Quantiles> histograms = new TreeMap<>();
        registry.getHistograms().forEach((name, histogram) -> histograms.put(name, Quantiles.of(histogram)));
        return new Report("ms", RollingWindowReservoir.WINDOW_NANOS / 1_000_000_000L, counters, histograms);
    }

    @Override
    public void taskEnded(
            TeamId team,
            UrgencyClass urgency,
            ServerId server,
            AttemptResult.Outcome outcome,
            long waitNanos,
            long serviceNanos) {
        registry.counter("tasks." + outcome).inc();
        long waitUnits = RollingWindowReservoir.units(waitNanos);
        long serviceUnits = RollingWindowReservoir.units(serviceNanos);
        LatencyHistograms teamHistograms = histogramsOf(team);
        LatencyHistograms classHistograms = classes.get(urgency);
        teamHistograms.waiting().update(waitUnits);
        teamHistograms.service().update(serviceUnits);
        classHistograms.waiting().update(waitUnits);
        classHistograms.service().update(serviceUnits);
    }

    @Override
    public void jobEnded(TeamId team, UrgencyClass urgency, JobId job, ErrorKind kind, long totalNanos) {
        registry.counter(kind == null ? "jobs.complete" : "jobs.failed." + kind).inc();
        long totalUnits = RollingWindowReservoir.units(totalNanos);
        histogramsOf(team).total().update(totalUnits);
        classes.get(urgency).total().update(totalUnits);
    }

    @Override
    public void requestRefused(TeamId team, ErrorKind kind) {
        registry.counter("jobs.refused." + kind).inc();
    }

    @Override
    public void ejectionChanged(ServerId server, boolean ejected) {
        registry.counter(ejected ? "servers.ejected" : "servers.returned").inc();
    }

    private LatencyHistograms histogramsOf(TeamId team) {
        LatencyHistograms existing = teams.get(team);
        if (existing != null) {
            return existing;
        }
        if (teams.size() >= MAX_TEAMS) {
            return LatencyHistograms.register(registry, OTHER_TEAMS, clock);
        }
        LatencyHistograms added = LatencyHistograms.register(registry, "team." + team, clock);
        teams.put(team, added);
        return added;
    }
}
