package org.banyanspoke.core.pool;

/** Tasks that a pool may start. */
public enum StartPermission {
    /** The tasks of all jobs. */
    ALL_JOBS,
    /** The remaining tasks of jobs of which a task has started. */
    STARTED_JOBS,
    /** No tasks. */
    NONE;

    /**
     * Returns whether pending tasks of a job may start.
     *
     * @param started whether a task of the job has started
     */
    public boolean allows(boolean started) {
        return this == ALL_JOBS || (this == STARTED_JOBS && started);
    }
}
