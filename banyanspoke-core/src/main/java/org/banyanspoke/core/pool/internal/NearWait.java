package org.banyanspoke.core.pool.internal;

/** Wait of tasks of one job for servers near their data. A job has at most one, which bounds the time that it waits. */
final class NearWait {
    private final long sinceMillis;
    private final long untilMillis;
    private int openWaits;
    private int heldTasks;

    /**
     * @param untilMillis time at which the wait ends, whether or not near capacity has become free
     */
    NearWait(long sinceMillis, long untilMillis) {
        this.sinceMillis = sinceMillis;
        this.untilMillis = untilMillis;
    }

    long untilMillis() {
        return untilMillis;
    }

    long waitedMillis(long nowMillis) {
        return nowMillis - sinceMillis;
    }

    /** Returns the number of tasks that have begun to wait and have not started yet. */
    int openWaits() {
        return openWaits;
    }

    /** Sets how many pending tasks wait at present. Returns the number of waits that have begun with this. */
    int hold(int tasks) {
        int begun = Math.max(0, tasks - openWaits);
        openWaits += begun;
        heldTasks = tasks;
        return begun;
    }

    /** Records the start of a task that has waited. */
    void endOne() {
        openWaits--;
        heldTasks = Math.max(0, heldTasks - 1);
    }

    /** Returns the number of pending tasks that other tasks may overtake. */
    int heldTasks(long nowMillis) {
        return nowMillis <= untilMillis ? heldTasks : 0;
    }
}
