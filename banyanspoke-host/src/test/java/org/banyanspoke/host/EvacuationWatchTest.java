package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.StoreStandin;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a state of a zone that changes because the store fails, and against one that is not read. */
class EvacuationWatchTest {
    private static final String TOPIC = "keyed.op";
    private static final String KEY = "evacuate/a";
    private static final long LIMIT_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final StoreStandin store = new StoreStandin(vertx);
    private final AtomicBoolean evacuated = new AtomicBoolean();
    private final AtomicInteger notifications = new AtomicInteger();
    private final ConfigWatch config = new ConfigWatch();
    private final EvacuationWatch watch =
            new EvacuationWatch(new ZoneId("a"), System::nanoTime, (requested, offset, absentAtMillis) -> {
                evacuated.set(requested);
                notifications.incrementAndGet();
            });

    @BeforeEach
    void follow() throws Exception {
        Eventually.await(store.start());
        store.putConfiguration(1, 1.6);
        ErrorGuard guard = new ErrorGuard(System::nanoTime);
        StoreClient client = new StoreClient(vertx, store::address);
        vertx.runOnContext(unused -> new TopicFollower(
                        vertx,
                        client,
                        TOPIC,
                        200,
                        () -> 0,
                        new CompositeTopicListener(List.of(config, watch), guard),
                        guard)
                .readNext());
        Eventually.within(LIMIT_MILLIS, () -> notifications.get() == 1, "the topic is read");
        assertThat(config.config()).isPresent();
        assertThat(evacuated).isFalse();
    }

    @AfterEach
    void close() throws Exception {
        Eventually.await(vertx.close());
    }

    private void request() {
        store.put(TOPIC, KEY, new JsonObject());
    }

    /** Refuses all calls, and waits until the read that is held open has ended. */
    private void takeStoreAway() throws InterruptedException {
        store.setDown(true);
        Thread.sleep(400);
    }

    private void awaitEvacuated(boolean expected) throws InterruptedException {
        Eventually.within(LIMIT_MILLIS, () -> evacuated.get() == expected, "evacuated is " + expected);
    }

    @Test
    void readsARequestAndItsWithdrawal() throws Exception {
        request();
        awaitEvacuated(true);
        store.remove(TOPIC, KEY);
        awaitEvacuated(false);
    }

    /** The zone is partitioned from the store: the dispatcher goes on until it reads the record. */
    @Test
    void keepsTheStateWhileTheStoreIsAway() throws Exception {
        takeStoreAway();
        request();
        Thread.sleep(500);
        assertThat(evacuated).isFalse();
        store.setDown(false);
        awaitEvacuated(true);
        takeStoreAway();
        store.remove(TOPIC, KEY);
        Thread.sleep(500);
        assertThat(evacuated).isTrue();
        store.setDown(false);
        awaitEvacuated(false);
    }

    @Test
    void readsARequestWrittenBeforeTheHistoryWasDiscarded() throws Exception {
        takeStoreAway();
        request();
        store.dropHistory(TOPIC);
        store.setDown(false);
        awaitEvacuated(true);
    }

    /** The request has a lower offset than the withdrawal in the previous log. */
    @Test
    void readsARequestInALogThatStartsAnew() throws Exception {
        request();
        awaitEvacuated(true);
        store.remove(TOPIC, KEY);
        awaitEvacuated(false);
        takeStoreAway();
        store.reset(TOPIC);
        request();
        store.setDown(false);
        awaitEvacuated(true);
    }
}
