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
 * Counts the requests that this host passes on to owners, and refuses further ones during a planned stop. Without this a stopping
 * host takes on waiting requests for jobs of other hosts until it exits, and cuts them off. Thread safe.
 */
final class StoppableForwarder implements JobForwarder {
    private final JobForwarder forwarder;
    private final Promise<Void> ended = Promise.promise();
    private int inProgress;
    private boolean stopping;

    /**
     * @param forwarder passes the requests on; each of them ends within its own time limit
     */
    StoppableForwarder(JobForwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** Refuses further requests. The result completes when all earlier ones have ended. */
    Future<Void> stop() {
        synchronized (this) {
            stopping = true;
        }
        completeIfEnded();
        return ended.future();
    }

    @Override
    public Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis) {
        return Single.defer(() -> {
            begin();
            return forwarder.forward(request, timeoutMillis).doFinally(this::end);
        });
    }

    /** Does not state "not run", because an earlier request for the job may have reached its owner. */
    private synchronized void begin() throws DispatchException {
        if (stopping) {
            throw new DispatchException(
                    ErrorKind.OWNER_UNREACHABLE, "this host is stopping and asks no owner any more; use another host");
        }
        inProgress++;
    }

    private void end() {
        synchronized (this) {
            inProgress--;
        }
        completeIfEnded();
    }

    private void completeIfEnded() {
        boolean last;
        synchronized (this) {
            last = stopping && inProgress == 0;
        }
        if (last) {
            ended.tryComplete();
        }
    }
}
