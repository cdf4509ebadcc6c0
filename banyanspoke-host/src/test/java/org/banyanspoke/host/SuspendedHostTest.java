package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.LeasedServer;
import org.banyanspoke.host.standins.ResendingCaller;
import org.banyanspoke.host.standins.ResendingCaller.Job;
import org.banyanspoke.host.standins.RunLedger;
import org.banyanspoke.host.standins.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * End-to-end test with entry hosts as separate processes that are suspended (SIGSTOP). Guards against a second run of a
 * task beside the one that the caller's next attempt has started elsewhere.
 */
class SuspendedHostTest {
    private static final int CAPACITY_MILLICORES = 16_000;
    private static final int TASK_MILLICORES = 8_000;
    private static final int TASKS_PER_SERVER = CAPACITY_MILLICORES / TASK_MILLICORES;
    private static final long START_MILLIS = 40_000;
    private static final long STABLE_MILLIS = 1_500;
    private static final long JOB_MILLIS = 900;
    /** Time for the first tasks to start. */
    private static final long STARTED_MILLIS = 300;

    private final Vertx vertx = Vertx.vertx();
    private final RunLedger ledger = new RunLedger(true);
    private final StoreStandin store = new StoreStandin(vertx);
    private final ResendingCaller callers = new ResendingCaller();
    private final List<HostUnderTest> hosts = new ArrayList<>();
    private int servers;
    private int jobs;

    /** Contains the output of the hosts; kept if a test fails. */
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @BeforeEach
    void startStore() throws Exception {
        Eventually.await(store.start());
        store.putConfiguration(1, 1.6);
    }

    @AfterEach
    void stopAndVerify() throws Exception {
        for (HostUnderTest host : hosts) {
            host.kill();
        }
        Eventually.await(vertx.close());
        assertThat(ledger.violations()).isEmpty();
    }

    private void addServers(String zone, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            LeasedServer server = new LeasedServer(vertx, ledger, CAPACITY_MILLICORES, TASK_MILLICORES, 1_000);
            Eventually.await(server.start());
            store.put("keyed.servers", "i-" + servers++, server.entry(zone));
        }
    }

    private HostUnderTest startHost(String name, String zone, double processors) throws Exception {
        HostUnderTest host = new HostUnderTest(name, folder);
        host.settings(zone, processors, store.address());
        host.start();
        hosts.add(host);
        return host;
    }

    private void awaitAllServersClaimed() throws Exception {
        Eventually.stableWithin(START_MILLIS, STABLE_MILLIS, this::allServersClaimed, "all servers are claimed");
    }

    private boolean allServersClaimed() throws InterruptedException {
        double capacity = 0;
        for (HostUnderTest host : hosts) {
            if (host.readiness() != 200 || host.metric("peers_heard") != hosts.size() - 1) {
                return false;
            }
            capacity += host.metric("pool_capacity_millicores");
        }
        return capacity == (double) servers * CAPACITY_MILLICORES;
    }

    private void send(int tasks, long runMillis, long deadlineMillis, HostUnderTest first, HostUnderTest next) {
        Job job = new Job(String.format("%016x", ++jobs), tasks, TASK_MILLICORES, runMillis, deadlineMillis);
        callers.send(job, first, next);
    }

    private static void suspend(HostUnderTest host, long millis) throws Exception {
        host.signal("STOP");
        Thread.sleep(millis);
        host.signal("CONT");
    }

    /** A dispatcher of zone a that runs the jobs of an entry host of zone b. */
    @Nested
    class ADispatcher {
        private static final long DEADLINE_MILLIS = 5_000;
        private static final int JOBS = 6;

        private HostUnderTest dispatcher;
        private HostUnderTest entryHost;

        @BeforeEach
        void giveItTheJobsOfAFullZone() throws Exception {
            addServers("a", 4);
            addServers("b", 2);
            dispatcher = startHost("dispatcher", "a", 1.0);
            entryHost = startHost("entry", "b", 1.0);
            awaitAllServersClaimed();
            send(2 * TASKS_PER_SERVER, 2_400, DEADLINE_MILLIS, entryHost, entryHost);
            Thread.sleep(STARTED_MILLIS);
            for (int i = 0; i < JOBS; i++) {
                send(1, JOB_MILLIS, DEADLINE_MILLIS, entryHost, entryHost);
            }
            Thread.sleep(STARTED_MILLIS);
        }

        /** On waking it found the leases expired and started the tasks again before it read that they were done. */
        @Test
        void startsNoTaskAgainThatRunsElsewhere() throws Exception {
            suspend(dispatcher, 2_400);
            assertThat(callers.join().values()).containsOnly(200);
        }

        @Test
        void startsNoTaskAgainAfterASeriesOfPauses() throws Exception {
            for (long millis : new long[] {700, 500, 900, 600}) {
                suspend(dispatcher, millis);
                Thread.sleep(30);
            }
            callers.join();
        }

        @Test
        void startsNoTaskAgainIfItsEntryHostIsSuspendedToo() throws Exception {
            entryHost.signal("STOP");
            Thread.sleep(300);
            suspend(dispatcher, 2_000);
            Thread.sleep(200);
            entryHost.signal("CONT");
            callers.join();
        }
    }

    /** An entry host of zone a that does not dispatch. */
    @Nested
    class AnEntryHost {
        private static final long DEADLINE_MILLIS = 1_500;
        private static final int JOBS = 4;

        private HostUnderTest dispatcher;
        private HostUnderTest entryHost;

        @BeforeEach
        void startTwoZones() throws Exception {
            addServers("a", 4);
            addServers("b", 4);
            dispatcher = startHost("dispatcher", "a", 2.0);
            entryHost = startHost("entry", "a", 0.5);
            startHost("other", "b", 1.0);
            awaitAllServersClaimed();
        }

        private void sendWhileSuspended(long millis) throws Exception {
            entryHost.signal("STOP");
            for (int i = 0; i < JOBS; i++) {
                send(1, JOB_MILLIS, DEADLINE_MILLIS, entryHost, dispatcher);
                Thread.sleep(50);
            }
            Thread.sleep(millis - 200);
            entryHost.signal("CONT");
        }

        /** It took requests from its sockets whose callers had closed the connection and sent them to another host. */
        @Test
        void dispatchesNoRequestWhoseCallerHasLeft() throws Exception {
            send(4 * TASKS_PER_SERVER, 2_400, 5_000, dispatcher, dispatcher);
            Thread.sleep(600);
            // The dispatcher compares the load of its zone with the last one for which it placed a job.
            send(1, 60, 5_000, dispatcher, dispatcher);
            sendWhileSuspended(3_300);
            assertThat(callers.join().values()).containsOnly(200);
        }

        /** A request whose caller still waits is served once the host runs again. */
        @Test
        void dispatchesTheRequestsOfWaitingCallers() throws Exception {
            sendWhileSuspended(500);
            assertThat(callers.join().values()).containsOnly(200);
        }
    }
}
