package org.banyanspoke.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * Runs the graceful shutdown (planned stop, design 2.6): reports not ready (503), waits for the notice period, refuses
 * new work, waits for running jobs to end, and hands the job records over to another host. Further requests have no
 * effect. Thread-safe.
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
     * @param vertx runs the timer of the notice period
     * @param noticeMillis time given to load balancers to see the readiness change, in milliseconds
     * @param finishJobs refuses new jobs; its future completes when the last running job has ended
     * @param handOver transfers job records and retained answers to the successor host
     */
    DrainCoordinator(
            Vertx vertx, long noticeMillis, Supplier<Future<Void>> finishJobs, Supplier<Future<Void>> handOver) {
        this.vertx = vertx;
        this.noticeMillis = noticeMillis;
        this.finishJobs = finishJobs;
        this.handOver = handOver;
    }

    /** Starts the graceful shutdown and returns without waiting for it. */
    void request() {
        if (!requested.compareAndSet(false, true)) {
            return;
        }
        LOG.event(Logger.Level.INFO, "graceful shutdown: readiness now reports 503")
                .write();
        vertx.timer(Math.max(1, noticeMillis), java.util.concurrent.TimeUnit.MILLISECONDS)
                .compose(unused -> startFinishingJobs())
                .compose(unused -> startHandOver())
                .onFailure(this::onFailure)
                .onComplete(unused -> ended.countDown());
    }

    boolean isRequested() {
        return requested.get();
    }

    /** Returns whether the graceful shutdown failed. Valid only after {@link #awaitEnd} has returned. */
    boolean hasFailed() {
        return failed;
    }

    /** Waits until the jobs have ended and the records are handed over, or one of these steps has failed. */
    void awaitEnd() throws InterruptedException {
        ended.await();
    }

    private Future<Void> startFinishingJobs() {
        LOG.event(Logger.Level.INFO, "graceful shutdown: refusing new work").write();
        return finishJobs.get();
    }

    private Future<Void> startHandOver() {
        LOG.event(Logger.Level.INFO, "graceful shutdown: all running jobs have ended")
                .write();
        return handOver.get();
    }

    private void onFailure(Throwable e) {
        failed = true;
        LOG.event(Logger.Level.ERROR, "graceful shutdown failed").cause(e).write();
    }
}
