package org.banyanspoke.core.pool.internal;

/**
 * Decides by its progress whether a run is stopped and its task started again. A run that takes long but makes progress
 * continues, as starting again would lose what it has done.
 */
final class StalledRuns {
    /** Reports without an increase after which a run may count as stalled. */
    private static final int MIN_UNCHANGED_REPORTS = 2;
    /** More than one interval between reports. */
    private static final long MIN_UNCHANGED_MILLIS = 400;
    /**
     * Part of the expected run time in which progress increases by at least one percent: estimates are too low by up to
     * 40%, and run times are up to 7 times the mean.
     */
    private static final double STEP_TIME_FACTOR = 0.1;
    /** Run time relative to other servers of its kind from which a server counts as slow. */
    private static final double SLOW_SERVER_FACTOR = 2;
    /** Greatest part of the remaining run time in which a new run must end, as its run time is known only roughly. */
    private static final double MAX_RESTART_PART = 0.5;
    /** Time until a stop is confirmed. */
    private static final long STOP_MILLIS = 100;

    private StalledRuns() {}

    /** Returns whether a run makes no progress. Judged at its last report, so a late report is no stall. */
    static boolean isStalled(Run run) {
        long unchangedMillis = run.lastReportMillis - run.lastIncreaseMillis();
        return run.unchangedReports() >= MIN_UNCHANGED_REPORTS
                && unchangedMillis > Math.max(MIN_UNCHANGED_MILLIS, STEP_TIME_FACTOR * run.expectedMillis);
    }

    /**
     * Returns whether a run may end much earlier elsewhere because its server is slow.
     *
     * @param serverFactor run time of other runs on its server relative to servers of the same kind
     */
    static boolean isOnSlowServer(Run run, double serverFactor) {
        return serverFactor >= SLOW_SERVER_FACTOR && run.hasMeaningfulProgress();
    }

    /**
     * Returns whether a new run is expected to end much earlier.
     *
     * @param remainingMillis expected time until the end of the present run
     * @param newRunMillis expected run time of a new run
     */
    static boolean isWorthRestarting(long remainingMillis, double newRunMillis) {
        return STOP_MILLIS + newRunMillis <= MAX_RESTART_PART * remainingMillis;
    }
}
