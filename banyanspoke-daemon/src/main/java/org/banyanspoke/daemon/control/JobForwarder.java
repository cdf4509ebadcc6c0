package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;

/** Passes requests on to the process that owns a job. May be called from any thread. */
@FunctionalInterface
public interface JobForwarder {
    /**
     * Sends the request to the owner named by the job id, or to the holder of its archive. If this host holds the
     * archive, the reply comes from it.
     *
     * @param request a request whose job id names another incarnation than this process
     * @param timeoutMillis limit for the reply; for a waiting submission at least the batch's promise
     * @return the reply; fails with {@link org.banyanspoke.api.errors.DispatchException} of kind {@code OWNER_LOST},
     *     {@code OWNER_UNREACHABLE}, or a kind that the archive states
     */
    Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis);
}
