package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.ResendingCaller;
import org.banyanspoke.host.standins.ResendingCaller.Job;
import org.banyanspoke.host.standins.TestSite;
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
    private static final long JOB_MILLIS = 900;
    /** Time for the first tasks to start. */
    private static final long STARTED_MILLIS = 300;

    private final ResendingCaller callers = new ResendingCaller();
    private TestSite site;
    private int jobs;

    /** Contains the output of the hosts; kept if a test fails. */
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path folder;

    @BeforeEach
    void startSite() throws Exception {
        site = new TestSite(folder, CAPACITY_MILLICORES, TASK_MILLICORES);
        site.start();
    }

    @AfterEach
    void stopAndVerify() throws Exception {
        site.closeAndVerify();
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
            site.addServers("a", 4);
            site.addServers("b", 2);
            dispatcher = site.startHost("dispatcher", "a", 1.0);
            entryHost = site.startHost("entry", "b", 1.0);
            site.awaitServing();
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
            site.addServers("a", 4);
            site.addServers("b", 4);
            dispatcher = site.startHost("dispatcher", "a", 2.0);
            entryHost = site.startHost("entry", "a", 0.5);
            site.startHost("other", "b", 1.0);
            site.awaitServing();
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
