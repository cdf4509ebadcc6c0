package org.banyanspoke.daemon;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.JobForwarder;

/**
 * Counts the requests that this host passes on to owners, and refuses further ones during a planned stop. Without this a stopping
 * host takes on waiting requests for jobs of other hosts until it exits, and cuts them off. Thread safe.
 */
final class StoppableForwarder implements JobForwarder {
    private static final long RETRY_MILLIS = 1_000;

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

    private synchronized void begin() throws RefusedException {
        if (stopping) {
            throw new RefusedException(ErrorKind.DRAINING, "this host is stopping; use another one", RETRY_MILLIS);
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
