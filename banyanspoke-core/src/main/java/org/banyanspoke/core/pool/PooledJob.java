package org.banyanspoke.core.pool;

/**
 * A job of one step whose caller waits for the end.
 *
 * @param id the caller's id
 * @param terms what the configuration says of its queue
 * @param payload passed to every task
 * @param tasks number of tasks, at least 1
 * @param shape what each task needs
 * @param ageMillis time since an entry host read the request
 * @param patienceMillis how long the caller waits, from the reading of the request
 */
public record PooledJob(
        CallerJobId id,
        QueueTerms terms,
        String payload,
        int tasks,
        TaskShape shape,
        long ageMillis,
        long patienceMillis) {}
