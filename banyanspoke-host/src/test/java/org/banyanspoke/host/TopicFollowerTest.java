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

/** Guards against changes that are missed when the store is away for a while or has forgotten its history. */
class TopicFollowerTest {
    private static final String TOPIC = "keyed.test";
    private static final long LIMIT_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final StoreStandin store = new StoreStandin(vertx);
    private final ConcurrentLinkedQueue<String> seen = new ConcurrentLinkedQueue<>();

    private final TopicFollower.Listener listener = new TopicFollower.Listener() {
        @Override
        public void onAll(List<StoreClient.Entry> entries) {
            seen.add("all");
            onChanges(entries);
        }

        @Override
        public void onChanges(List<StoreClient.Entry> entries) {
            entries.forEach(entry -> seen.add(entry.key()));
        }
    };

    @BeforeEach
    void follow() throws Exception {
        store.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        put("first");
        StoreClient client = new StoreClient(vertx, store::address);
        vertx.runOnContext(unused -> new TopicFollower(vertx, client, TOPIC, 200, () -> 20, listener).start());
        awaitSeen("all", "first");
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void put(String key) {
        store.put(TOPIC, key, new JsonObject());
    }

    private void awaitSeen(String... expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (!List.copyOf(seen).equals(List.of(expected)) && System.nanoTime() < endNanos) {
            Thread.sleep(10);
        }
        assertThat(seen).containsExactly(expected);
    }

    @Test
    void eachChangeIsToldOnce() throws Exception {
        put("second");
        put("third");
        awaitSeen("all", "first", "second", "third");
    }

    @Test
    void changesOfAnOutageAreToldAfterIt() throws Exception {
        store.setDown(true);
        put("second");
        Thread.sleep(500);
        store.setDown(false);
        awaitSeen("all", "first", "second");
    }

    @Test
    void allKeysAreReadAgainWhenTheHistoryIsGone() throws Exception {
        store.setDown(true);
        Thread.sleep(400);
        put("second");
        store.dropHistory(TOPIC);
        store.setDown(false);
        awaitSeen("all", "first", "all", "first", "second");
    }
}
