package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.StoreStandin;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against changes that are missed during a store outage or after the store has discarded its history. */
class TopicFollowerTest {
    private static final String TOPIC = "keyed.test";
    /** Key of a record on which the listener throws an unchecked exception. */
    private static final String FAILING_KEY = "failing";

    private static final long LIMIT_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final StoreStandin store = new StoreStandin(vertx);
    private final ConcurrentLinkedQueue<String> received = new ConcurrentLinkedQueue<>();

    private final TopicFollower.Listener listener = new TopicFollower.Listener() {
        @Override
        public void onAll(List<StoreClient.Entry> entries) {
            received.add("all");
            onChanges(entries);
        }

        @Override
        public void onChanges(List<StoreClient.Entry> entries) {
            entries.forEach(entry -> received.add(entry.key()));
            if (entries.stream().anyMatch(entry -> entry.key().equals(FAILING_KEY))) {
                throw new IllegalStateException("simulated error in a listener");
            }
        }
    };

    @BeforeEach
    void startFollowing() throws Exception {
        store.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        put("first");
        StoreClient client = new StoreClient(vertx, store::address);
        vertx.runOnContext(unused -> new TopicFollower(
                        vertx, client, TOPIC, 200, () -> 20, listener, new ErrorGuard(System::nanoTime))
                .readNext());
        awaitReceived("all", "first");
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void put(String key) {
        store.put(TOPIC, key, new JsonObject());
    }

    private void awaitReceived(String... expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (!List.copyOf(received).equals(List.of(expected)) && System.nanoTime() < endNanos) {
            Thread.sleep(10);
        }
        assertThat(received).containsExactly(expected);
    }

    @Test
    void deliversEachChangeOnce() throws Exception {
        put("second");
        put("third");
        awaitReceived("all", "first", "second", "third");
    }

    @Test
    void deliversChangesMadeDuringAnOutage() throws Exception {
        store.setDown(true);
        put("second");
        Thread.sleep(500);
        store.setDown(false);
        awaitReceived("all", "first", "second");
    }

    @Test
    void readsAllKeysAgainWhenTheHistoryIsDiscarded() throws Exception {
        store.setDown(true);
        Thread.sleep(400);
        put("second");
        store.dropHistory(TOPIC);
        store.setDown(false);
        awaitReceived("all", "first", "all", "first", "second");
    }

    /** The topic was never read again after such an error. */
    @Test
    void continuesAfterAnUnexpectedErrorInTheListener() throws Exception {
        put(FAILING_KEY);
        awaitReceived("all", "first", FAILING_KEY);
        put("second");
        awaitReceived("all", "first", FAILING_KEY, "second");
    }

    @Test
    void continuesAfterAnUnexpectedErrorInTheFirstRead() throws Exception {
        store.setDown(true);
        Thread.sleep(400);
        put(FAILING_KEY);
        store.dropHistory(TOPIC);
        store.setDown(false);
        awaitReceived("all", "first", "all", "first", FAILING_KEY);
        put("second");
        awaitReceived("all", "first", "all", "first", FAILING_KEY, "second");
    }

    /** Such a record was read again and again, and the records after it were never delivered. */
    @Test
    void skipsARecordWithoutAKey() throws Exception {
        store.putRaw(TOPIC, new byte[0]);
        store.putRaw(TOPIC, new byte[] {9, 'k'});
        put("second");
        awaitReceived("all", "first", "second");
        put("third");
        awaitReceived("all", "first", "second", "third");
    }

    /** The follower waited for offsets that the new log reached only much later, and missed what was written before. */
    @Test
    void readsAllKeysAgainWhenTheLogStartsAnew() throws Exception {
        put("second");
        awaitReceived("all", "first", "second");
        store.setDown(true);
        Thread.sleep(400);
        store.reset(TOPIC);
        put("third");
        store.setDown(false);
        awaitReceived("all", "first", "second", "all", "third");
    }
}
