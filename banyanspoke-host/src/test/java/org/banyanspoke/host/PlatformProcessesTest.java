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
import org.banyanspoke.host.standins.OtherWriter;
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
 * End-to-end test with entry hosts as separate processes, and stand-ins for leased backend servers and the store.
 * Guards against duplicate runs, starts beyond capacity and unanswered callers when hosts are killed, stopped or
 * reloaded, or the store is down.
 */
class PlatformProcessesTest {
    private static final int CAPACITY_MILLICORES = 16_000;
    private static final int TASK_MILLICORES = 4_000;
    private static final int SERVERS = 6;
    /** Starting a Java process on a loaded machine takes several seconds. */
    private static final long START_MILLIS = 40_000;
    /** Longer than a host waits before it claims the servers (0.3 s), plus a handover. */
    private static final long STABLE_MILLIS = 1_500;
    /** A dispatcher is replaced after 0.7 s of silence and the end of its leases (1.14 s); the rest allows for load. */
    private static final long FAILOVER_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final RunLedger ledger = new RunLedger();
    private final StoreStandin store = new StoreStandin(vertx);
    private final Map<String, CompletableFuture<HttpResponse<String>>> sent = new LinkedHashMap<>();
    private final List<HostUnderTest> hosts = new ArrayList<>();

    /** Contains the output of the hosts; kept if a test fails. */
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @BeforeEach
    void startHosts() throws Exception {
        Eventually.await(store.start());
        store.putConfiguration(1, 1.6);
        for (int i = 0; i < SERVERS; i++) {
            addServer(i);
        }
        startHost("strong", 2.0);
        startHost("weak", 0.5);
        // A host that has no contact with the dispatcher yet claims the servers briefly; jobs are refused meanwhile.
        Eventually.stableWithin(
                START_MILLIS,
                STABLE_MILLIS,
                () -> hosts.get(0).metric("pool_capacity_millicores") == SERVERS * CAPACITY_MILLICORES
                        && hosts.get(1).metric("pool_capacity_millicores") == 0
                        && hosts.get(1).readiness() == 200
                        && hosts.get(1).metric("peers_heard") == 1,
                "the stronger host dispatches steadily");
    }

    private void addServer(int index) throws Exception {
        LeasedServer server = new LeasedServer(vertx, ledger, CAPACITY_MILLICORES, TASK_MILLICORES, 1_000);
        Eventually.await(server.start());
        store.put("keyed.servers", "i-" + index, server.entry("a"));
    }

    private void startHost(String name, double processors) throws IOException {
        HostUnderTest host = new HostUnderTest(name, folder);
        host.settings("a", processors, store.address());
        host.start();
        hosts.add(host);
    }

    @AfterEach
    void stopAndVerify() throws Exception {
        for (HostUnderTest host : hosts) {
            host.kill();
        }
        Eventually.await(vertx.close());
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

    /** Returns the HTTP status of the answer to a job; 0 if the connection failed. */
    private int status(String job) throws InterruptedException, TimeoutException {
        try {
            return sent.get(job).get(20, TimeUnit.SECONDS).statusCode();
        } catch (ExecutionException e) {
            return 0;
        }
    }

    private void assertCompleted(String job) throws Exception {
        HttpResponse<String> answer = sent.get(job).get(20, TimeUnit.SECONDS);
        assertThat(answer.statusCode()).as(job + ": " + answer.body()).isEqualTo(200);
    }

    private void assertAnswersConsistent() throws Exception {
        for (String job : sent.keySet()) {
            int status = status(job);
            assertThat(status).as(job).isIn(0, 200, 503, 504);
            if (status == 503) {
                assertThat(ledger.startedTasks(job))
                        .as(job + " was refused but has started tasks")
                        .isZero();
            }
        }
    }

    private void awaitService(HostUnderTest host) throws InterruptedException {
        within(FAILOVER_MILLIS, () -> {
            try {
                return status(send(host, 2, 100)) == 200;
            } catch (TimeoutException e) {
                return false;
            }
        });
    }

    @Nested
    class WithoutFaults {
        @Test
        @Tag("known-red")
        void completesJobsOfAllHosts() throws Exception {
            for (int i = 0; i < 40; i++) {
                send(hosts.get(i % 2), 3, 60);
                Thread.sleep(20);
            }
            for (String job : sent.keySet()) {
                assertCompleted(job);
                assertThat(ledger.completedTasks(job)).as(job).isEqualTo(3);
            }
        }
    }

    @Nested
    class AKilledDispatcher {
        @Test
        void isReplacedByTheOtherHost() throws Exception {
            for (int i = 0; i < 6; i++) {
                send(hosts.get(i % 2), 3, 900);
            }
            within(5_000, () -> !ledger.idle());
            hosts.get(0).kill();
            awaitService(hosts.get(1));
            assertAnswersConsistent();
        }

        @Test
        void takesOverFromTheWeakerHostAfterARestart() throws Exception {
            hosts.get(0).kill();
            awaitService(hosts.get(1));
            hosts.get(0).start();
            within(START_MILLIS, () -> {
                send(hosts.get(1), 2, 100);
                return hosts.get(0).metric("pool_capacity_millicores") == SERVERS * CAPACITY_MILLICORES;
            });
            awaitService(hosts.get(1));
            assertAnswersConsistent();
        }
    }

    /** Review case 4: the response was 410, and the job was started when there was capacity for it. */
    @Nested
    class ACancellationAtAnotherHostThanTheCallers {
        private static final long DEADLINE_MILLIS = 10_000;
        private static final int ALL_SLOTS = SERVERS * CAPACITY_MILLICORES / TASK_MILLICORES;

        private String sendPatiently(HostUnderTest host, int tasks, long runMillis) {
            String job = String.format("%016x", sent.size() + 1);
            sent.put(job, host.submit(job, tasks, TASK_MILLICORES, runMillis, DEADLINE_MILLIS, 2 * DEADLINE_MILLIS));
            return job;
        }

        @Test
        void preventsTheStartOfAWaitingJob() throws Exception {
            HostUnderTest dispatcher = hosts.get(0);
            HostUnderTest other = hosts.get(1);
            String running = sendPatiently(other, ALL_SLOTS, 3_000);
            within(5_000, () -> ledger.startedTasks(running) == ALL_SLOTS);
            String sentToOther = sendPatiently(other, 2, 1_500);
            String sentToDispatcher = sendPatiently(dispatcher, 2, 1_500);
            within(2_000, () -> dispatcher.metric("pool_queued_jobs") == 2);
            assertThat(dispatcher.cancel(sentToOther)).isEqualTo(200);
            assertThat(other.cancel(sentToDispatcher)).isEqualTo(200);
            assertThat(status(sentToOther)).isEqualTo(503);
            assertThat(status(sentToDispatcher)).isEqualTo(503);
            assertCompleted(running);
            assertCompleted(send(dispatcher, 2, 100));
            assertThat(ledger.startedTasks(sentToOther)).isZero();
            assertThat(ledger.startedTasks(sentToDispatcher)).isZero();
        }

        @Test
        void stopsARunningJob() throws Exception {
            String job = sendPatiently(hosts.get(0), 2, 6_000);
            within(5_000, () -> ledger.startedTasks(job) == 2);
            assertThat(hosts.get(1).cancel(job)).isEqualTo(200);
            assertThat(status(job)).isEqualTo(504);
            within(3_000, ledger::idle);
            assertThat(ledger.completedTasks(job)).isZero();
        }

        @Test
        void ofAnUnknownJobIsAnsweredWithGone() throws Exception {
            assertThat(hosts.get(1).cancel("00000000000000ff")).isEqualTo(410);
        }
    }

    @Nested
    class AStop {
        @Test
        void deliversPendingAnswers() throws Exception {
            String own = send(hosts.get(0), 4, 900);
            String other = send(hosts.get(1), 4, 900);
            within(5_000, () -> ledger.startedTasks(own) == 4 && ledger.startedTasks(other) == 4);
            hosts.get(0).signal("TERM");
            assertCompleted(own);
            assertCompleted(other);
            assertThat(hosts.get(0).process().waitFor(8, TimeUnit.SECONDS)).isTrue();
            assertThat(hosts.get(0).output()).contains("\"message\":\"stopped\"");
            awaitService(hosts.get(1));
        }

        @Test
        void failsTheReadinessCheckAtOnce() throws Exception {
            hosts.get(1).signal("TERM");
            within(2_000, () -> hosts.get(1).readiness() == 503);
        }
    }

    @Nested
    class AReload {
        @Test
        void appliesTheNewStoreAddress() throws Exception {
            StoreStandin moved = new StoreStandin(vertx);
            Eventually.await(moved.start());
            hosts.get(0).settings("a", 2.0, moved.address());
            hosts.get(0).signal("HUP");
            within(5_000, () -> hosts.get(0).hasWritten("settings changed"));
            assertThat(hosts.get(0).process().isAlive()).isTrue();
            assertCompleted(send(hosts.get(0), 2, 100));
        }

        @Test
        void ofSettingsThatAreNotValidChangesNothing() throws Exception {
            hosts.get(0).settings("a", 2.0, "nowhere");
            hosts.get(0).signal("HUP");
            within(5_000, () -> hosts.get(0).hasWritten("changed settings are not valid"));
            assertCompleted(send(hosts.get(0), 2, 100));
        }
    }

    /** Hosts that read such a record ended, or never followed its topic again. */
    @Nested
    class OddRecordsOfAnotherWriter {
        @Test
        void doNotStopHostsFromFollowingTheStore() throws Exception {
            OtherWriter otherWriter = new OtherWriter(store);
            otherWriter.writeAll();
            otherWriter.writeConfigurations();
            addServer(SERVERS);
            store.putConfiguration(2, 1.7);
            within(
                    10_000,
                    () -> hosts.get(0).metric("pool_capacity_millicores") == (SERVERS + 1) * CAPACITY_MILLICORES);
            for (HostUnderTest host : hosts) {
                within(10_000, () -> host.metric("entry_config_version") == 2);
                assertThat(host.process().isAlive()).isTrue();
                assertCompleted(send(host, 3, 100));
            }
        }

        @Test
        void doNotStopAHostThatStartsAmongThem() throws Exception {
            new OtherWriter(store).writeAll();
            store.putConfiguration(2, 1.7);
            startHost("late", 0.5);
            HostUnderTest late = hosts.get(2);
            within(START_MILLIS, () -> late.readiness() == 200 && late.metric("peers_heard") == 2);
            assertCompleted(send(late, 3, 100));
        }
    }

    @Nested
    class AStoreOutage {
        @Test
        void doesNotInterruptService() throws Exception {
            store.setDown(true);
            within(10_000, () -> hosts.get(0).hasWritten("the store does not answer"));
            assertCompleted(send(hosts.get(0), 3, 100));
            assertCompleted(send(hosts.get(1), 3, 100));
            store.setDown(false);
            within(10_000, () -> hosts.get(0).hasWritten("the store answers again"));
        }

        /** Failover needs no store: the number that makes fencing tokens unique is known from the start. */
        @Test
        void doesNotPreventFailover() throws Exception {
            store.setDown(true);
            hosts.get(0).kill();
            awaitService(hosts.get(1));
        }
    }
}
