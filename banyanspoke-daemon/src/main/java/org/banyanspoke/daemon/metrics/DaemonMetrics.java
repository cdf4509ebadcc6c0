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
 * Counters and histograms of one daemon.
 *
 * <p>Memory: three histograms for each of 3 classes and at most {@value #MAX_TEAMS} teams, each with two windows of at
 * most 9 KB. At the design's 140 teams this is at most 143 x 3 x 2 x 9 KB = 7.7 MB.
 */
public final class DaemonMetrics implements DispatcherListener {
    /** The design has 140 teams. Further teams share one set of histograms, so that memory stays bounded. */
    static final int MAX_TEAMS = 200;

    static final String OTHER_TEAMS = "team.(other)";

    private final MetricRegistry registry;
    private final MonotonicClock clock;
    private final Map<UrgencyClass, Timings> classes = new EnumMap<>(UrgencyClass.class);
    private final List<Supplier<Map<String, Long>>> sources = new CopyOnWriteArrayList<>();
    /** Dispatch thread only. */
    private final Map<TeamId, Timings> teams = new HashMap<>();

    /**
     * @param registry holds all metrics
     * @param clock times the windows
     */
    public DaemonMetrics(MetricRegistry registry, MonotonicClock clock) {
        this.registry = registry;
        this.clock = clock;
        for (UrgencyClass urgency : UrgencyClass.values()) {
            String prefix = "class." + urgency.name().toLowerCase(Locale.ROOT);
            classes.put(urgency, Timings.register(registry, prefix, clock));
        }
    }

    /**
     * All metrics as JSON.
     *
     * @param unit unit of the histograms
     * @param windowSeconds shortest time that the quantiles cover
     * @param counters value by name
     * @param histograms histogram by name
     */
    public record Report(
            String unit, long windowSeconds, Map<String, Long> counters, Map<String, Quantiles> histograms) {}

    /**
     * One histogram.
     *
     * @param count values since the start of the process
     * @param windowCount values within the window
     * @param mean mean in milliseconds
     * @param p50 median in milliseconds
     * @param p90 in milliseconds
     * @param p99 in milliseconds
     * @param max in milliseconds
     */
    public record Quantiles(long count, int windowCount, double mean, double p50, double p90, double p99, double max) {
        private static final double UNITS_PER_MILLI = 1_000.0 / WindowReservoir.UNIT_MICROS;

        static Quantiles of(Histogram histogram) {
            Snapshot window = histogram.getSnapshot();
            return new Quantiles(
                    histogram.getCount(),
                    window.size(),
                    window.getMean() / UNITS_PER_MILLI,
                    window.getMedian() / UNITS_PER_MILLI,
                    window.getValue(0.9) / UNITS_PER_MILLI,
                    window.get99thPercentile() / UNITS_PER_MILLI,
                    window.getMax() / UNITS_PER_MILLI);
        }
    }

    /** Counts an error response. Thread safe. */
    public void errorAnswered(ErrorKind kind) {
        registry.counter("http.errors." + kind).inc();
    }

    /** Adds counters that are kept elsewhere and read for each report, on the thread that asks for it. Thread safe. */
    public void addCounters(Supplier<Map<String, Long>> source) {
        sources.add(source);
    }

    /** Returns all metrics. Thread safe. */
    public Report report() {
        Map<String, Long> counters = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        sources.forEach(source -> counters.putAll(source.get()));
        Map<String, Quantiles> histograms = new TreeMap<>();
        registry.getHistograms().forEach((name, histogram) -> histograms.put(name, Quantiles.of(histogram)));
        return new Report("ms", WindowReservoir.WINDOW_NANOS / 1_000_000_000L, counters, histograms);
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
        long waitUnits = WindowReservoir.units(waitNanos);
        long serviceUnits = WindowReservoir.units(serviceNanos);
        Timings ofTeam = timings(team);
        Timings ofClass = classes.get(urgency);
        ofTeam.waiting().update(waitUnits);
        ofTeam.service().update(serviceUnits);
        ofClass.waiting().update(waitUnits);
        ofClass.service().update(serviceUnits);
    }

    @Override
    public void jobEnded(TeamId team, UrgencyClass urgency, JobId job, ErrorKind kind, long totalNanos) {
        registry.counter(kind == null ? "jobs.complete" : "jobs.failed." + kind).inc();
        long totalUnits = WindowReservoir.units(totalNanos);
        timings(team).total().update(totalUnits);
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

    private Timings timings(TeamId team) {
        Timings known = teams.get(team);
        if (known != null) {
            return known;
        }
        if (teams.size() >= MAX_TEAMS) {
            return Timings.register(registry, OTHER_TEAMS, clock);
        }
        Timings added = Timings.register(registry, "team." + team, clock);
        teams.put(team, added);
        return added;
    }
}
