package org.banyanspoke.host;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.LongSupplier;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** Keeps up with one topic of the store: first the newest record of every key, then each change. */
final class TopicFollower {
    /** Told of records, in the order of the log. */
    interface Listener {
        /** All keys there are; anything known before is outdated. */
        void onAll(List<StoreClient.Entry> entries);

        /** Changes since. */
        void onChanges(List<StoreClient.Entry> entries);
    }

    /** Many times the answer of a healthy store; a connection that went silent costs this much. */
    private static final long TIMEOUT_MILLIS = 700;

    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long LONGEST_RETRY_MILLIS = 800;
    private static final EventLog LOG = EventLog.of(TopicFollower.class);

    private final Vertx vertx;
    private final StoreClient store;
    private final String topic;
    private final long waitMillis;
    private final LongSupplier pauseMillis;
    private final Listener listener;
    private long next = -1;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private boolean reachable = true;

    /**
     * @param waitMillis how long a read waits for a change
     * @param pauseMillis pause after a read
     */
    TopicFollower(
            Vertx vertx,
            StoreClient store,
            String topic,
            long waitMillis,
            LongSupplier pauseMillis,
            Listener listener) {
        this.vertx = vertx;
        this.store = store;
        this.topic = topic;
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
        this.listener = listener;
    }

    void start() {
        if (next < 0) {
            var unused = store.newest(topic, TIMEOUT_MILLIS).subscribe(this::onNewest, this::onFailure);
        } else {
            var unused = store.read(topic, next, waitMillis, TIMEOUT_MILLIS).subscribe(this::onRead, this::onFailure);
        }
    }

    private void onNewest(StoreClient.Page page) {
        succeeded();
        next = page.next();
        listener.onAll(page.entries());
        continueAfter(pauseMillis.getAsLong());
    }

    private void onRead(StoreClient.Page page) {
        succeeded();
        if (!page.complete()) {
            LOG.event(Logger.Level.INFO, "history of a topic is gone, all keys are read again")
                    .with("topic", topic)
                    .with("offset", next)
                    .write();
            next = -1;
            start();
            return;
        }
        next = page.next();
        if (!page.entries().isEmpty()) {
            listener.onChanges(page.entries());
        }
        continueAfter(pauseMillis.getAsLong());
    }

    private void succeeded() {
        retryMillis = FIRST_RETRY_MILLIS;
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
        continueAfter(retryMillis);
        retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
    }

    private void continueAfter(long millis) {
        if (millis <= 0) {
            vertx.runOnContext(unused -> start());
        } else {
            vertx.setTimer(millis, unused -> start());
        }
    }
}
