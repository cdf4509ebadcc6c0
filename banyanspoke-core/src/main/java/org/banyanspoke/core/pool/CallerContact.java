package org.banyanspoke.core.pool;

/**
 * Tells when the callers of jobs were last known to wait for them. A caller that no longer waits may have sent its job
 * to another host, which starts the tasks there.
 */
@FunctionalInterface
public interface CallerContact {
    /** For jobs whose callers always wait. */
    CallerContact ALWAYS = job -> 0;

    /**
     * Returns the time since the caller of a job was last known to wait, in milliseconds; a very large number if it
     * never was.
     */
    long ageMillis(CallerJobId job);
}
