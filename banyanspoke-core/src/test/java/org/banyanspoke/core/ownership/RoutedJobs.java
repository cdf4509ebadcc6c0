package org.banyanspoke.core.ownership;

import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueueTerms;
import org.banyanspoke.core.pool.TaskShape;

/** Jobs that tests give to a router. */
final class RoutedJobs {
    private RoutedJobs() {}

    /** Returns a job of 8 tasks of 100 ms on 7 cores, whose caller waits 1.5 s. */
    static PooledJob ofEightTasks() {
        return new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueueTerms("q", "s", 0, 3, 1.6, 60),
                "",
                8,
                new TaskShape(7_000, 64, 0, 100, "", "", 0),
                0,
                1_500);
    }
}
