package org.banyanspoke.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * The planned stop (design 2.6): readiness 503, notice time, refusal of new work, end of the running jobs, handover of the
 * records. A second request changes nothing. Thread safe.
 */
final class DrainCoordinator {
    private static final EventLog LOG = EventLog.of(DrainCoordinator.class);

    private final Vertx vertx;
    private final long noticeMillis;
    private final Supplier<Future<Void>> finishJobs;
    private final Supplier<Future<Void>> handOver;
    private final AtomicBoolean requested = new AtomicBoolean();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean failed;

    /**
     * @param vertx runs the timer of the notice time
     * @param noticeMillis time for the load balancer to notice the readiness change, in milliseconds
     * @param finishJobs refuses new jobs and completes when the last running one has ended
     * @param handOver gives records and answers to the successor
     */
    DrainCoordinator(
            Vertx vertx, long noticeMillis, Supplier<Future<Void>> finishJobs, Supplier<Future<Void>> handOver) {
        this.vertx = vertx;
        this.noticeMillis = noticeMillis;
        this.finishJobs = finishJobs;
        this.handOver = handOver;
    }

    /** Starts the planned stop. Returns at once. */
    void request() {
        if (!requested.compareAndSet(false, true)) {
            return;
        }
        LOG.event(Logger.Level.INFO, "planned stop: readiness is 503").write();
        vertx.timer(Math.max(1, noticeMillis), java.util.concurrent.TimeUnit.MILLISECONDS)
                .compose(unused -> refuseAndFinish())
                .compose(unused -> startHandOver())
                .onFailure(this::onFailure)
                .onComplete(unused -> ended.countDown());
    }

    /** Returns whether the planned stop was requested. */
    boolean isRequested() {
        return requested.get();
    }

    /** Returns whether the planned stop failed. Defined after {@link #awaitEnd}. */
    boolean hasFailed() {
        return failed;
    }

    /** Waits until jobs have ended and records are handed over. */
    void awaitEnd() throws InterruptedException {
        ended.await();
    }

    private Future<Void> refuseAndFinish() {
        LOG.event(Logger.Level.INFO, "planned stop: new work is refused").write();
        return finishJobs.get();
    }

    private Future<Void> startHandOver() {
        LOG.event(Logger.Level.INFO, "planned stop: all jobs have ended").write();
        return handOver.get();
    }

    private void onFailure(Throwable e) {
        failed = true;
        LOG.event(Logger.Level.ERROR, "planned stop failed").cause(e).write();
    }
}
