package org.banyanspoke.core.pool;

/**
 * One task of a job.
 *
 * @param job the job
 * @param index from 0
 */
public record TaskKey(CallerJobId job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
