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
        }
    };

    @BeforeEach
    void startFollowing() throws Exception {
        store.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        put("first");
        StoreClient client = new StoreClient(vertx, store::address);
        vertx.runOnContext(unused -> new TopicFollower(vertx, client, TOPIC, 200, () -> 20, listener).readNext());
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
}
