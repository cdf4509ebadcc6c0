package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;

/** Forwards requests to the process that owns a job. Thread-safe. */
@FunctionalInterface
public interface JobForwarder {
    /**
     * Sends the request to the owner named by the job id, or to the holder of its archive. If this host holds the
     * archive, the reply comes from it.
     *
     * @param request a request whose job id names an incarnation other than this process
     * @param timeoutMillis timeout for the reply; for a submission that waits for the end of the job, at least the
     *     batch's promise
     * @return the reply; fails with {@link org.banyanspoke.api.errors.DispatchException} of kind {@code OWNER_LOST},
     *     {@code OWNER_UNREACHABLE}, or the error kind recorded in the archive
     */
    Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis);
}
