package org.banyanspoke.core.pool.internal;

import org.banyanspoke.core.pool.RunKey;

/** Run of a task on an owned server, from its start command until it can no longer be on the server. */
final class Run {
    /** State of a run as known to this process. */
    enum State {
        /** The start command has been sent and not confirmed. */
        STARTING,
        /** The server has confirmed the start. */
        RUNNING,
        /** A stop command has been sent and not confirmed. */
        STOPPING,
        /** The stop has been confirmed; the run has ended once a later renewal does not list it. */
        STOPPED
    }

    /** Progress in whole percent is too coarse below this to extrapolate the run time. */
    private static final int MIN_MEANINGFUL_PERCENT = 10;

    /** A report comes whenever a run of the server ends, so reports may follow each other closely. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 100;

    final RunKey key;
    final JobProgress job;
    final int cpuMillicores;
    final int memoryMegabytes;
    final int gpus;
    final long startSentMillis;
    final long expectedMillis;
    State state = State.STARTING;
    long lastCommandMillis;
    /** Number of the first renewal that is sent after the last confirmed command. */
    long firstConclusiveRenewal = Long.MAX_VALUE;

    /** Time at which the server last reported this run as active; initially the time of the start command. */
    long lastReportMillis;

    private int percentDone;
    /** Time of the first report of the present progress; initially the time of the start command. */
    private long lastIncreaseMillis;
    /** Reports of the present progress after the first one, without those that follow another one closely. */
    private int unchangedReports;

    private long lastCountedReportMillis;

    Run(RunKey key, JobProgress job, long startSentMillis, long expectedMillis) {
        this.key = key;
        this.job = job;
        this.cpuMillicores = job.requirements().cpuMillicores();
        this.memoryMegabytes = job.requirements().memoryMegabytes();
        this.gpus = job.requirements().gpus();
        this.startSentMillis = startSentMillis;
        this.expectedMillis = expectedMillis;
        this.lastCommandMillis = startSentMillis;
        this.lastReportMillis = startSentMillis;
        this.lastIncreaseMillis = startSentMillis;
        this.lastCountedReportMillis = startSentMillis;
    }

    /** Records that the server has reported this run as active. */
    void recordReport(int percent, long nowMillis) {
        lastReportMillis = nowMillis;
        if (percent > percentDone) {
            percentDone = percent;
            lastIncreaseMillis = nowMillis;
            lastCountedReportMillis = nowMillis;
            unchangedReports = 0;
        } else if (nowMillis - lastCountedReportMillis >= MIN_REPORT_INTERVAL_MILLIS) {
            lastCountedReportMillis = nowMillis;
            unchangedReports++;
        }
    }

    long lastIncreaseMillis() {
        return lastIncreaseMillis;
    }

    int unchangedReports() {
        return unchangedReports;
    }

    /** Returns whether the run time can be extrapolated from the progress. */
    boolean hasMeaningfulProgress() {
        return percentDone >= MIN_MEANINGFUL_PERCENT;
    }

    /** Returns when the run is expected to end, or {@link RoomTimeline#NEVER} if that is not known. */
    long expectedEndMillis(long nowMillis) {
        if (isStopping()) {
            return RoomTimeline.NEVER;
        }
        long endMillis = startSentMillis
                + (hasMeaningfulProgress() ? 100 * (lastReportMillis - startSentMillis) / percentDone : expectedMillis);
        // A run that is overdue is expected to take as much longer as it is overdue.
        return endMillis + 2 * Math.max(0, nowMillis - endMillis);
    }

    /** Returns the expected work from start to end, in millicore-milliseconds. */
    long expectedWork() {
        return cpuMillicores * expectedMillis;
    }

    boolean isStopping() {
        return state == State.STOPPING || state == State.STOPPED;
    }
}
