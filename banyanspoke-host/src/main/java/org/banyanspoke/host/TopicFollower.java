package org.banyanspoke.host;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.LongSupplier;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** Follows one topic of the store: reads the newest record of every key first, then each later record. */
final class TopicFollower {
    /** Receives records in log order. */
    interface Listener {
        /** Receives the newest record of every key, which replaces all earlier state. */
        void onAll(List<StoreClient.Entry> entries);

        /** Receives the records appended since the last call. */
        void onChanges(List<StoreClient.Entry> entries);

        /** Called before {@link #onAll} if the log has become shorter, so that earlier offsets mean nothing any more. */
        default void onReplaced() {}

        /** Called after each successful read, once its records have been received. */
        default void onUpToDate() {}
    }

    /** Many times the response time of a healthy store. Also the delay until an unresponsive connection is detected. */
    private static final long TIMEOUT_MILLIS = 700;

    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;
    private static final EventLog LOG = EventLog.of(TopicFollower.class);

    private final Vertx vertx;
    private final StoreClient store;
    private final String topic;
    private final long waitMillis;
    private final LongSupplier pauseMillis;
    private final Listener listener;
    private final ErrorGuard guard;
    /** Offset of the next read; negative until the newest records have been read. */
    private long nextOffset = -1;
    /** Offset up to which the log has been read. */
    private long readUntil;

    private long retryMillis = MIN_RETRY_MILLIS;
    private boolean reachable = true;

    /**
     * @param waitMillis how long the store holds a read open if there is no new record
     * @param pauseMillis supplies the pause after a successful read
     * @param guard catches unexpected errors of the listener, after which the next read follows as usual
     */
    TopicFollower(
            Vertx vertx,
            StoreClient store,
            String topic,
            long waitMillis,
            LongSupplier pauseMillis,
            Listener listener,
            ErrorGuard guard) {
        this.vertx = vertx;
        this.store = store;
        this.topic = topic;
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
        this.guard = guard;
    }

    void readNext() {
        if (nextOffset < 0) {
            var unused = store.readNewest(topic, TIMEOUT_MILLIS).subscribe(this::onNewest, this::onFailure);
        } else {
            var unused =
                    store.read(topic, nextOffset, waitMillis, TIMEOUT_MILLIS).subscribe(this::onRead, this::onFailure);
        }
    }

    private void onNewest(StoreClient.Page page) {
        onSuccess();
        if (page.nextOffset() < readUntil) {
            guard.run("replacement of " + topic, listener::onReplaced);
        }
        advance(page);
        guard.run("records of " + topic, () -> listener.onAll(page.entries()));
        guard.run("read of " + topic, listener::onUpToDate);
        scheduleRead(pauseMillis.getAsLong());
    }

    private void onRead(StoreClient.Page page) {
        onSuccess();
        if (!page.complete()) {
            LOG.event(Logger.Level.INFO, "topic history no longer available, reading all keys again")
                    .with("topic", topic)
                    .with("offset", nextOffset)
                    .write();
            nextOffset = -1;
            readNext();
            return;
        }
        advance(page);
        if (!page.entries().isEmpty()) {
            guard.run("records of " + topic, () -> listener.onChanges(page.entries()));
        }
        guard.run("read of " + topic, listener::onUpToDate);
        scheduleRead(pauseMillis.getAsLong());
    }

    private void advance(StoreClient.Page page) {
        nextOffset = page.nextOffset();
        readUntil = nextOffset;
    }

    private void onSuccess() {
        retryMillis = MIN_RETRY_MILLIS;
        if (!reachable) {
            reachable = true;
            LOG.event(Logger.Level.INFO, "the store answers again")
                    .with("topic", topic)
                    .write();
        }
    }

    private void onFailure(Throwable e) {
        if (reachable) {
            reachable = false;
            LOG.event(Logger.Level.WARN, "the store does not answer")
                    .with("topic", topic)
                    .with("reason", e.getMessage())
                    .write();
        }
        scheduleRead(retryMillis);
        retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    }

    private void scheduleRead(long millis) {
        if (millis <= 0) {
            vertx.runOnContext(unused -> readNext());
        } else {
            vertx.setTimer(millis, unused -> readNext());
        }
    }
}
