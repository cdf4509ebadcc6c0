package org.banyanspoke.daemon;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.JobForwarder;

/**
 * Tracks requests that are being forwarded to job owners, and refuses new ones during a graceful shutdown. Otherwise a
 * host that shuts down would keep accepting requests that wait for jobs of other hosts, and drop them when it exits.
 * Thread-safe.
 */
final class StoppableForwarder implements JobForwarder {
    private final JobForwarder forwarder;
    private final Promise<Void> drained = Promise.promise();
    private int inProgress;
    private boolean stopping;

    /**
     * @param forwarder forwards the requests; each one ends within its own timeout
     */
    StoppableForwarder(JobForwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** Refuses further requests. The returned future completes when all requests in progress have ended. */
    Future<Void> stop() {
        synchronized (this) {
            stopping = true;
        }
        completeIfDrained();
        return drained.future();
    }

    @Override
    public Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis) {
        return Single.defer(() -> {
            begin();
            return forwarder.forward(request, timeoutMillis).doFinally(this::end);
        });
    }

    /** Throws OWNER_UNREACHABLE, not "not run", because an earlier request for the job may have reached its owner. */
    private synchronized void begin() throws DispatchException {
        if (stopping) {
            throw new DispatchException(
                    ErrorKind.OWNER_UNREACHABLE,
                    "this host is shutting down and no longer forwards requests to job owners; use another host");
        }
        inProgress++;
    }

    private void end() {
        synchronized (this) {
            inProgress--;
        }
        completeIfDrained();
    }

    private void completeIfDrained() {
        boolean last;
        synchronized (this) {
            last = stopping && inProgress == 0;
        }
        if (last) {
            drained.tryComplete();
        }
    }
}
