package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.StoreStandin;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
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

    /**
     * Review case 8: the repeated read used another connection that was as silent as the first one, so a host kept its
     * old configuration for too long.
     */
    @Nested
    class WhenAllOpenConnectionsGoSilent {
        /** Wait of the reads of the configuration. */
        private static final long POLL_WAIT_MILLIS = 1_000;
        /** Time from the silence to the write. */
        private static final long WRITE_AFTER_MILLIS = 500;
        /** Time after the silence from which a configuration written more than 2 s before must be in force. */
        private static final long IN_FORCE_AFTER_MILLIS = 3_000;

        private static final String POLLED_TOPIC = "keyed.polled";
        private static final String OTHER_TOPIC = "keyed.other";
        private static final int CONNECTIONS = 4;

        private final StoreClient client = new StoreClient(vertx, store::address);

        private void follow() throws Exception {
            store.put(POLLED_TOPIC, "old", new JsonObject());
            ErrorGuard guard = new ErrorGuard(System::nanoTime);
            vertx.runOnContext(
                    unused -> new TopicFollower(vertx, client, POLLED_TOPIC, POLL_WAIT_MILLIS, () -> 0, listener, guard)
                            .readNext());
            awaitReceived("all", "first", "all", "old");
        }

        /** Opens as many connections as the client keeps. All but that of the follower are idle afterwards. */
        private void openConnections() throws Exception {
            CountDownLatch ended = new CountDownLatch(CONNECTIONS - 1);
            vertx.runOnContext(none -> {
                for (int i = 0; i < CONNECTIONS - 1; i++) {
                    var unused = client.read(OTHER_TOPIC, 0, 100, 1_000)
                            .subscribe(page -> ended.countDown(), e -> ended.countDown());
                }
            });
            assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue();
        }

        /** Waits until the follower has just begun another read. */
        private void awaitNewRead() throws InterruptedException {
            while (store.waitingReads(POLLED_TOPIC) > 0) {
                Thread.sleep(1);
            }
            while (store.waitingReads(POLLED_TOPIC) == 0) {
                Thread.sleep(1);
            }
        }

        @Test
        void deliversAChangeWithinTheTimeForAConfiguration() throws Exception {
            follow();
            openConnections();
            awaitNewRead();
            assertThat(store.silenceOpenConnections()).isGreaterThanOrEqualTo(CONNECTIONS);
            Thread.sleep(WRITE_AFTER_MILLIS);
            store.put(POLLED_TOPIC, "new", new JsonObject());
            Thread.sleep(IN_FORCE_AFTER_MILLIS - WRITE_AFTER_MILLIS);
            assertThat(received).endsWith("new");
        }
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
