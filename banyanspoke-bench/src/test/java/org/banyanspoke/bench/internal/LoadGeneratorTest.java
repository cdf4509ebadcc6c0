package org.banyanspoke.bench.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.bench.Load;
import org.banyanspoke.bench.internal.JobOutcome.State;
import org.banyanspoke.standins.Deployments;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadGeneratorTest {
    private static final Load LOAD = Load.steady("team", UrgencyClass.URGENT, 1, 1_000);

    private final Vertx vertx = Vertx.vertx();
    private FakeDaemon first;
    private FakeDaemon second;

    @BeforeEach
    void start() throws Exception {
        first = new FakeDaemon(vertx);
        second = new FakeDaemon(vertx);
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    /** Submits jobs of 2 tasks at intervals of 10 ms. */
    private List<JobOutcome> run(int count, boolean reservedIds) throws InterruptedException {
        List<PlannedJob> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(new PlannedJob(i, LOAD, i * 10_000_000L, new double[] {1, 2}, new long[] {1, 2}));
        }
        try (LoadBalancer balancer = new LoadBalancer(vertx, List.of(first.port(), second.port()), List.of(1, 1))) {
            int expected = (first.ready ? 1 : 0) + (second.ready ? 1 : 0);
            while (balancer.readyHosts() < expected) {
                Thread.sleep(5);
            }
            LoadGenerator load = new LoadGenerator(vertx, balancer, Map.of("team", "token"), reservedIds, 0);
            return load.run(jobs, System.nanoTime());
        }
    }

    private void setBoth(FakeDaemon.Mode mode) {
        first.mode = mode;
        second.mode = mode;
    }

    @Nested
    class OpenLoop {
        /** Guards against closed-loop behaviour: 40 sequential jobs of 500 ms each would take 20 s. */
        @Test
        void sendsWithoutWaitingForResponses() throws Exception {
            first.delayMillis = 500;
            second.delayMillis = 500;
            long start = System.nanoTime();
            List<JobOutcome> outcomes = run(40, false);
            assertThat(System.nanoTime() - start).isLessThan(5_000_000_000L);
            assertThat(outcomes).hasSize(40).allMatch(outcome -> outcome.responseNanos() >= 500_000_000);
        }

        /** Guards against an uneven distribution of requests to hosts. */
        @Test
        void sendsToHostsInRoundRobin() throws Exception {
            run(10, false);
            assertThat(first.submissions).hasValue(5);
            assertThat(second.submissions).hasValue(5);
        }

        /** Guards against requests to a host that has announced its shutdown. */
        @Test
        void avoidsHostsThatAreNotReady() throws Exception {
            second.ready = false;
            run(10, false);
            assertThat(second.submissions).hasValue(0);
        }
    }

    @Nested
    class Outcomes {
        /** Guards against refusals that are counted as complete responses. */
        @Test
        void reportRefusals() throws Exception {
            setBoth(FakeDaemon.Mode.REFUSE);
            assertThat(run(2, false))
                    .allMatch(outcome -> outcome.state() == State.REFUSED && outcome.error() == ErrorKind.OVERLOADED);
        }

        /** Guards against undetected missing results in a complete response. */
        @Test
        void reportPartialResponses() throws Exception {
            setBoth(FakeDaemon.Mode.WITHOUT_LAST_TASK);
            assertThat(run(2, false)).allMatch(JobOutcome::partial);
        }

        /** Guards against undetected results of other tasks. */
        @Test
        void reportResultsOfOtherTasks() throws Exception {
            setBoth(FakeDaemon.Mode.SWAPPED_RESULTS);
            assertThat(run(2, false)).allMatch(JobOutcome::partial);
        }

        /** Guards against resubmission of a job that may have run. */
        @Test
        void reportLostJobsAndSendThemOnce() throws Exception {
            setBoth(FakeDaemon.Mode.CLOSE);
            assertThat(run(4, false)).allMatch(outcome -> outcome.state() == State.LOST);
            assertThat(first.submissions.get() + second.submissions.get()).isEqualTo(4);
        }
    }

    @Nested
    class Retries {
        /** Guards against jobs that fail because one of two hosts is draining. */
        @Test
        void followADrainingResponse() throws Exception {
            first.mode = FakeDaemon.Mode.DRAIN;
            assertThat(run(4, false)).allMatch(outcome -> outcome.state() == State.COMPLETE);
        }

        /** Guards against a client with a reserved id that does not retry after a lost connection. */
        @Test
        void followALostConnectionUnderAReservedId() throws Exception {
            first.mode = FakeDaemon.Mode.CLOSE;
            assertThat(run(4, true)).allMatch(outcome -> outcome.state() == State.COMPLETE);
        }
    }
}
