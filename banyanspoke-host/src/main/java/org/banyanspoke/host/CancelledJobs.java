package org.banyanspoke.host;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * Ids of cancelled jobs, kept while such a job may still be on its way to a dispatcher. If there are too many, the oldest
 * are dropped. Not thread safe.
 */
final class CancelledJobs {
    /** A job is sent to at most two dispatchers and waits less than 1 s for one; the rest allows for slow hosts. */
    private static final long RETENTION_MILLIS = 5_000;

    private static final long LOG_PERIOD_MILLIS = 5_000;
    private static final EventLog LOG = EventLog.of(CancelledJobs.class);

    private final MonotonicClock clock;
    private final int maxIds;
    /** In the order of cancellation, which is also that of expiry. */
    private final Map<CallerJobId, Entry> entries = new LinkedHashMap<>();

    private int dropped;
    private long nextLogMillis = Long.MIN_VALUE;

    /**
     * A cancelled job.
     *
     * @param mayHaveRun whether a task of it had been started here
     */
    private record Entry(long expiryMillis, boolean mayHaveRun) {}

    /**
     * @param maxIds bounds the memory for the ids
     */
    CancelledJobs(MonotonicClock clock, int maxIds) {
        this.clock = clock;
        this.maxIds = maxIds;
    }

    /** Records the cancellation of a job. */
    void add(CallerJobId job) {
        long nowMillis = clock.millis();
        removeExpired(nowMillis);
        Entry previous = entries.remove(job);
        if (entries.size() >= maxIds) {
            dropOldest(nowMillis);
        }
        entries.put(job, new Entry(nowMillis + RETENTION_MILLIS, previous != null && previous.mayHaveRun));
    }

    /** Records that a task of a cancelled job had been started here. */
    void recordStarted(CallerJobId job) {
        entries.computeIfPresent(job, (id, entry) -> new Entry(entry.expiryMillis, true));
    }

    /** Returns whether a task of a cancelled job had been started here. */
    boolean mayHaveRun(CallerJobId job) {
        Entry entry = entries.get(job);
        return entry != null && entry.mayHaveRun;
    }

    /** Returns the time for which a cancelled job is still refused, in milliseconds; 0 if it is not. */
    long remainingMillis(CallerJobId job) {
        Entry entry = entries.get(job);
        return entry == null ? 0 : Math.max(0, entry.expiryMillis - clock.millis());
    }

    int size() {
        return entries.size();
    }

    private void removeExpired(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && oldest.next().expiryMillis <= nowMillis) {
            oldest.remove();
        }
    }

    private void dropOldest(long nowMillis) {
        Iterator<CallerJobId> oldest = entries.keySet().iterator();
        oldest.next();
        oldest.remove();
        dropped++;
        if (nowMillis >= nextLogMillis) {
            LOG.event(Logger.Level.WARN, "ids of cancelled jobs dropped")
                    .with("ids", dropped)
                    .with("maxIds", maxIds)
                    .write();
            dropped = 0;
            nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
        }
    }
}
