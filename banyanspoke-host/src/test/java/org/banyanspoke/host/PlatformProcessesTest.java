package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.LeasedServer;
import org.banyanspoke.host.standins.RunLedger;
import org.banyanspoke.host.standins.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * The whole path as separate processes: entry hosts between callers, backend servers under leases and the store. Guards against
 * doubled runs, starts beyond room and unanswered callers when processes are killed, stopped or reloaded, or the store is away.
 */
class PlatformProcessesTest {
    private static final int CAPACITY_MILLICORES = 16_000;
    private static final int TASK_MILLICORES = 4_000;
    private static final int SERVERS = 6;
    /** A start of a Java process beside a full machine takes several seconds. */
    private static final long START_MILLIS = 40_000;
    /** Longer than a host waits before it takes the servers (0.3 s) and hands them over again. */
    private static final long SETTLED_MILLIS = 1_500;
    /** A dispatcher is followed within 0.7 s of silence and the end of the leases of 1.14 s; the rest is for a slow machine. */
    private static final long SUCCESSION_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final RunLedger ledger = new RunLedger();
    private final StoreStandin store = new StoreStandin(vertx);
    private final Map<String, CompletableFuture<HttpResponse<String>>> sent = new LinkedHashMap<>();
    private final List<HostUnderTest> hosts = new ArrayList<>();

    /** The output of the hosts stays if a test fails. */
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @BeforeEach
    void startHosts() throws Exception {
        Eventually.done(store.start());
        store.putConfiguration(1, 1.6);
        for (int i = 0; i < SERVERS; i++) {
            LeasedServer server = new LeasedServer(vertx, ledger, CAPACITY_MILLICORES, TASK_MILLICORES, 1_000);
            Eventually.done(server.start());
            store.put("keyed.servers", "i-" + i, server.entry("a"));
        }
        startHost("strong", 2.0);
        startHost("weak", 0.5);
        // A host that has not heard of the dispatcher yet takes the servers for a moment, and jobs are refused
        // meanwhile.
        Eventually.steadyWithin(
                START_MILLIS,
                SETTLED_MILLIS,
                () -> hosts.get(0).metric("pool_capacity_millicores") == SERVERS * CAPACITY_MILLICORES
                        && hosts.get(1).metric("pool_capacity_millicores") == 0
                        && hosts.get(1).readiness() == 200
                        && hosts.get(1).metric("peers_heard") == 1,
                "the stronger host dispatches for good");
    }

    private void startHost(String name, double processors) throws IOException {
        HostUnderTest host = new HostUnderTest(name, folder);
        host.settings("a", processors, store.address());
        host.start();
        hosts.add(host);
    }

    @AfterEach
    void endAndCheck() throws Exception {
        for (HostUnderTest host : hosts) {
            host.kill();
        }
        Eventually.done(vertx.close());
        assertThat(ledger.violations()).isEmpty();
    }

    private static void within(long millis, Eventually.Condition condition) throws InterruptedException {
        Eventually.within(millis, condition, "the condition holds");
    }

    private String send(HostUnderTest host, int tasks, long runMillis) {
        String job = String.format("%016x", sent.size() + 1);
        sent.put(job, host.submit(job, tasks, TASK_MILLICORES, runMillis));
        return job;
    }

    /** Returns the status of the answer to a job; 0 if the connection broke without one. */
    private int status(String job) throws InterruptedException, TimeoutException {
        try {
            return sent.get(job).get(20, TimeUnit.SECONDS).statusCode();
        } catch (ExecutionException e) {
            return 0;
        }
    }

    private void checkCompleted(String job) throws Exception {
        HttpResponse<String> answer = sent.get(job).get(20, TimeUnit.SECONDS);
        assertThat(answer.statusCode()).as(job + ": " + answer.body()).isEqualTo(200);
    }

    private void checkAnswers() throws Exception {
        for (String job : sent.keySet()) {
            int status = status(job);
            assertThat(status).as(job).isIn(0, 200, 503, 504);
            if (status == 503) {
                assertThat(ledger.begun(job))
                        .as(job + " was said not to have run")
                        .isZero();
            }
        }
    }

    private void completesAgain(HostUnderTest host) throws InterruptedException {
        within(SUCCESSION_MILLIS, () -> {
            try {
                return status(send(host, 2, 100)) == 200;
            } catch (TimeoutException e) {
                return false;
            }
        });
    }

    @Nested
    class ACalmSite {
        @Test
        void completesTheJobsOfAllHosts() throws Exception {
            for (int i = 0; i < 40; i++) {
                send(hosts.get(i % 2), 3, 60);
                Thread.sleep(20);
            }
            for (String job : sent.keySet()) {
                checkCompleted(job);
                assertThat(ledger.done(job)).as(job).isEqualTo(3);
            }
        }
    }

    @Nested
    class ADispatcherThatIsKilled {
        @Test
        void isFollowedByTheOtherHost() throws Exception {
            for (int i = 0; i < 6; i++) {
                send(hosts.get(i % 2), 3, 900);
            }
            within(5_000, () -> !ledger.idle());
            hosts.get(0).kill();
            completesAgain(hosts.get(1));
            checkAnswers();
        }

        @Test
        void takesItsPlaceAgainFromTheWeakerHost() throws Exception {
            hosts.get(0).kill();
            completesAgain(hosts.get(1));
            hosts.get(0).start();
            within(START_MILLIS, () -> {
                send(hosts.get(1), 2, 100);
                return hosts.get(0).metric("pool_capacity_millicores") == SERVERS * CAPACITY_MILLICORES;
            });
            completesAgain(hosts.get(1));
            checkAnswers();
        }
    }

    @Nested
    class AStop {
        @Test
        void deliversTheAnswersThatAreUnderWay() throws Exception {
            String own = send(hosts.get(0), 4, 900);
            String other = send(hosts.get(1), 4, 900);
            within(5_000, () -> ledger.begun(own) == 4 && ledger.begun(other) == 4);
            hosts.get(0).signal("TERM");
            checkCompleted(own);
            checkCompleted(other);
            assertThat(hosts.get(0).process().waitFor(8, TimeUnit.SECONDS)).isTrue();
            assertThat(hosts.get(0).output()).contains("\"message\":\"stopped\"");
            completesAgain(hosts.get(1));
        }

        @Test
        void isTakenOutOfRotationAtOnce() throws Exception {
            hosts.get(1).signal("TERM");
            within(2_000, () -> hosts.get(1).readiness() == 503);
        }
    }

    @Nested
    class AReload {
        @Test
        void takesTheNewAddressOfTheStore() throws Exception {
            StoreStandin moved = new StoreStandin(vertx);
            Eventually.done(moved.start());
            hosts.get(0).settings("a", 2.0, moved.address());
            hosts.get(0).signal("HUP");
            within(5_000, () -> hosts.get(0).hasWritten("settings changed"));
            assertThat(hosts.get(0).process().isAlive()).isTrue();
            checkCompleted(send(hosts.get(0), 2, 100));
        }

        @Test
        @Tag("known-red")
        void ofSettingsThatAreNotValidChangesNothing() throws Exception {
            hosts.get(0).settings("a", 2.0, "nowhere");
            hosts.get(0).signal("HUP");
            within(5_000, () -> hosts.get(0).hasWritten("changed settings are not valid"));
            checkCompleted(send(hosts.get(0), 2, 100));
        }
    }

    @Nested
    class AStoreThatIsAway {
        @Test
        void costsNoService() throws Exception {
            store.setDown(true);
            within(10_000, () -> hosts.get(0).hasWritten("the store does not answer"));
            checkCompleted(send(hosts.get(0), 3, 100));
            checkCompleted(send(hosts.get(1), 3, 100));
            store.setDown(false);
            within(10_000, () -> hosts.get(0).hasWritten("the store answers again"));
        }

        /** The number that makes tokens distinct is known from the start, so a takeover needs no store. */
        @Test
        void doesNotKeepADispatcherFromBeingFollowed() throws Exception {
            store.setDown(true);
            hosts.get(0).kill();
            completesAgain(hosts.get(1));
        }
    }
}
