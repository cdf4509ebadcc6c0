package org.banyanspoke.core.pool;

/**
 * Identifies one task of a job.
 *
 * @param job the job
 * @param index position in the job, counted from 0
 */
public record TaskKey(CallerJobId job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
