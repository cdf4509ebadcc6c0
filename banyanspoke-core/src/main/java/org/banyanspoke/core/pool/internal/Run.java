package org.banyanspoke.core.pool.internal;

import org.banyanspoke.core.pool.RunKey;

/** One start of a task on an owned server, from the order until nothing of it can be there. */
final class Run {
    /** What is known of a run. */
    enum State {
        /** Ordered, not answered. */
        STARTING,
        /** The server has confirmed the start. */
        RUNNING,
        /** A stop has been ordered and not been answered. */
        STOPPING,
        /** The stop has been answered; the run is over when a later list lacks it. */
        STOPPED
    }

    final RunKey key;
    final JobProgress job;
    final int cpuMillicores;
    final int memoryMegabytes;
    final int gpus;
    final long orderedMillis;
    final long expectedMillis;
    State state = State.STARTING;
    long lastOrderMillis;
    /** Number of the first renewal whose list is newer than the last answered order. */
    long settledByRenewal = Long.MAX_VALUE;

    int percent;

    Run(RunKey key, JobProgress job, long orderedMillis, long expectedMillis) {
        this.key = key;
        this.job = job;
        this.cpuMillicores = job.shape().cpuMillicores();
        this.memoryMegabytes = job.shape().memoryMegabytes();
        this.gpus = job.shape().gpus();
        this.orderedMillis = orderedMillis;
        this.expectedMillis = expectedMillis;
        this.lastOrderMillis = orderedMillis;
    }

    /** Returns the expected work from start to end, in thousandths of a core times milliseconds. */
    long expectedWork() {
        return cpuMillicores * expectedMillis;
    }

    boolean beingStopped() {
        return state == State.STOPPING || state == State.STOPPED;
    }
}
