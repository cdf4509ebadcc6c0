package org.banyanspoke.core.ownership;

import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.TaskRequirements;

/** Jobs for tests of routing and placement. */
final class TestJobs {
    private TestJobs() {}

    /** Returns a job of 8 tasks of 100 ms and 7 cores each, with a caller timeout of 1.5 s. */
    static PooledJob ofEightTasks() {
        return new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                8,
                new TaskRequirements(7_000, 64, 0, 100, "", "", 0),
                0,
                1_500);
    }
}
