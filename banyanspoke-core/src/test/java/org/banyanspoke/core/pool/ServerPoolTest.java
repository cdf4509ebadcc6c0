package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.Server;
import org.banyanspoke.core.pool.SimulatedServers.StartFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against exceeded server capacity, concurrent runs of a task and jobs without an outcome when servers fail. */
class ServerPoolTest {
    private static final double REMOTE_RACK_FACTOR = 2;
    /** Period in which a dispatcher reads the registry. */
    private static final long REGISTRY_POLL_MILLIS = 400;

    private final SimulatedServers simulation = new SimulatedServers();
    /** Time of the last contact with the callers of all jobs. */
    private long contactMillis = Long.MAX_VALUE;

    private final CallerContact contact = job -> Math.max(0, simulation.millis() - contactMillis);
    private final ServerPool pool = newPool(1);
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private ServerPool newPool(long registration) {
        return newPool(registration, PoolListener.NONE);
    }

    private ServerPool newPool(long registration, PoolListener listener) {
        return SimulatedPools.create(simulation, registration, REMOTE_RACK_FACTOR, contact, listener);
    }

    private void addServers(int servers) {
        for (int i = 0; i < servers; i++) {
            simulation.add("s" + i, "a", 16_000);
        }
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    @Nested
    class HealthyServers {
        @Test
        void completesAJobAndFreesItsCapacity() {
            addServers(2);
            CallerJobId id = jobs.submit(SimulatedJobs.URGENT, 4, 100);
            simulation.run(pool, 400);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
            assertThat(pool.isIdle()).isTrue();
            assertThat(pool.load().freeMillicores()).isEqualTo(32_000);
        }

        @Test
        void runsAJobOnceThatIsSubmittedTwice() {
            addServers(2);
            CallerJobId id = jobs.submit(SimulatedJobs.URGENT, 2, 100);
            pool.submit(
                    new PooledJob(id, SimulatedJobs.URGENT, "work", 2, SimulatedJobs.requirements(100), 0, 1_500),
                    outcome -> assertThat(outcome.kind()).isEqualTo(Kind.COMPLETED));
            simulation.run(pool, 400);
            assertThat(simulation.starts()).isEqualTo(2);
        }

        @Test
        void refusesImmediatelyWithoutServers() {
            CallerJobId id = jobs.submit(SimulatedJobs.URGENT, 1, 100);
            assertThat(jobs.kind(id)).isEqualTo(Kind.REFUSED);
            assertThat(jobs.endedJobs.get(id).outcome().retryAfterMillis()).isPositive();
        }

        @Test
        void stopsTheTasksOfACancelledJob() {
            addServers(2);
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 2, 900);
            simulation.runMillis = run -> 900;
            simulation.run(pool, 50);
            pool.cancel(id, "caller disconnected");
            simulation.run(pool, 200);
            assertThat(jobs.kind(id)).isEqualTo(Kind.ABANDONED);
            assertThat(simulation.servers.values()).allMatch(server -> server.running.isEmpty());
            assertThat(pool.isIdle()).isTrue();
        }

        /** A refusal means that no task has run, so the entry host would send the job to another zone. */
        @Test
        void abandonsAResubmittedJobWhoseRunsAreBeingStopped() {
            addServers(2);
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 2, 900);
            simulation.runMillis = run -> 900;
            simulation.run(pool, 50);
            pool.cancel(id, "caller disconnected");
            List<Kind> outcomes = new ArrayList<>();
            pool.submit(
                    new PooledJob(id, SimulatedJobs.LONG, "work", 2, SimulatedJobs.requirements(900), 0, 1_500),
                    outcome -> outcomes.add(outcome.kind()));
            assertThat(outcomes).containsExactly(Kind.ABANDONED);
        }

        @Test
        void startsNothingOnADrainingServer() {
            addServers(1);
            ServerDescriptor previous = simulation.descriptors().get(0);
            Server server = simulation.servers.get(previous.id());
            server.descriptor = new ServerDescriptor(
                    previous.id(),
                    previous.service(),
                    previous.address(),
                    previous.zone(),
                    previous.labels(),
                    previous.cpuMillicores(),
                    previous.memoryMegabytes(),
                    0,
                    true,
                    1);
            pool.assign(simulation.descriptors());
            CallerJobId id = jobs.submit(SimulatedJobs.URGENT, 1, 100);
            simulation.run(pool, 500);
            assertThat(jobs.kind(id)).isEqualTo(Kind.REFUSED);
            assertThat(simulation.starts()).isZero();
        }
    }

    /** Such a server was paused, since its tasks seemed to make no progress, although nothing had been heard of them. */
    @Nested
    class AServerThatIsLateToReport {
        private final List<String> states = new ArrayList<>();

        @Test
        void isNotCountedAsStalled() {
            simulation.add("s0", "a", 16_000);
            ServerPool observed = newPool(2, new PoolListener() {
                @Override
                public void onServerStateChanged(ServerId server, String state, String reason) {
                    states.add(state + ": " + reason);
                }
            });
            observed.assign(simulation.descriptors());
            simulation.run(observed, 100);
            SimulatedJobs observedJobs = new SimulatedJobs(simulation, observed);
            simulation.runMillis = run -> 30;
            Server server = simulation.servers.values().iterator().next();
            server.renewalRepliesLost = true;
            observedJobs.submit(SimulatedJobs.URGENT, 2, 30);
            simulation.run(observed, 350);
            server.renewalRepliesLost = false;
            simulation.run(observed, 400);
            assertThat(states).noneMatch(state -> state.startsWith("paused"));
            assertThat(observedJobs.endedJobs).hasSize(1);
        }
    }

    @Nested
    class JobsThatNoServerCanRun {
        private CallerJobId submit(TaskRequirements requirements) {
            CallerJobId id = new CallerJobId("00000000000000aa");
            pool.submit(
                    new PooledJob(id, SimulatedJobs.URGENT, "work", 1, requirements, 0, 1_500),
                    outcome -> outcomes.add(outcome.kind()));
            return id;
        }

        private final List<Kind> outcomes = new ArrayList<>();

        /** Such a job held its caller until shortly before the deadline. */
        @Test
        void areRefusedImmediatelyForLackOfMemory() {
            addServers(2);
            submit(new TaskRequirements(1_000, 32_001, 0, 100, "", "", 0));
            assertThat(outcomes).containsExactly(Kind.REFUSED);
        }

        @Test
        void areRefusedImmediatelyForLackOfGpus() {
            addServers(2);
            submit(new TaskRequirements(1_000, 100, 1, 100, "", "", 0));
            assertThat(outcomes).containsExactly(Kind.REFUSED);
        }

        @Test
        void areRefusedImmediatelyForLackOfTheirLabel() {
            addServers(2);
            submit(new TaskRequirements(1_000, 100, 0, 100, "no-such-label", "", 0));
            assertThat(outcomes).containsExactly(Kind.REFUSED);
        }

        /** The sum of used and required memory overflowed, and the task was started beyond the server's capacity. */
        @Test
        void areNotStartedBecauseTheirRequirementOverflows() {
            addServers(1);
            jobs.submit(SimulatedJobs.LONG, 1, 900);
            simulation.run(pool, 20);
            submit(new TaskRequirements(1_000, Integer.MAX_VALUE, 0, 100, "", "", 0));
            simulation.run(pool, 20);
            assertThat(simulation.starts()).isEqualTo(1);
        }
    }

    @Nested
    class AnUnexpectedErrorInACommand {
        /** The pool stayed marked as dispatching and never started a task again. */
        @Test
        void doesNotEndDispatching() {
            addServers(2);
            simulation.failNextStart = true;
            assertThatThrownBy(() -> jobs.submit(SimulatedJobs.URGENT, 1, 100))
                    .isInstanceOf(IllegalStateException.class);
            CallerJobId next = jobs.submit(SimulatedJobs.URGENT, 1, 100);
            simulation.run(pool, 400);
            assertThat(jobs.kind(next)).isEqualTo(Kind.COMPLETED);
        }
    }

    @Nested
    class CommandsWithoutReply {
        @Test
        void areRetriedElsewhereOnlyOnceTheyCanNoLongerTakeEffect() {
            addServers(2);
            Server first = simulation.servers.values().iterator().next();
            simulation.servers.values().forEach(server -> server.fault = StartFault.LATE);
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 2, 300);
            simulation.run(pool, 100);
            simulation.servers.values().forEach(server -> server.fault = StartFault.NONE);
            simulation.run(pool, 6_000);
            assertThat(first.running).isEmpty();
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
            assertThat(pool.isIdle()).isTrue();
        }

        @Test
        void doNotRunATaskTwiceWhenOnlyTheReplyIsLost() {
            addServers(2);
            simulation.servers.values().forEach(server -> server.fault = StartFault.ANSWER_LOST);
            jobs.submit(SimulatedJobs.LONG, 4, 900);
            simulation.runMillis = run -> 700;
            simulation.run(pool, 50);
            simulation.servers.values().forEach(server -> server.fault = StartFault.NONE);
            simulation.run(pool, 4_000);
            assertThat(pool.isIdle()).isTrue();
        }
    }

    @Nested
    class ASilentServer {
        @Test
        void keepsItsTasksUntilTheLeaseExpires() {
            addServers(2);
            Server silent = simulation.servers.values().iterator().next();
            simulation.runMillis = run -> 400;
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 4, 900);
            simulation.run(pool, 50);
            silent.reachable = false;
            simulation.run(pool, 2_500);
            assertThat(jobs.endedJobs).containsKey(id);
            silent.reachable = true;
            simulation.run(pool, 3_000);
            assertThat(pool.isIdle()).isTrue();
            assertThat(pool.load().freeMillicores()).isEqualTo(32_000);
        }

        @Test
        void isNotUsedUntilItResponds() {
            addServers(2);
            Server silent = simulation.servers.values().iterator().next();
            silent.reachable = false;
            jobs.submit(SimulatedJobs.LONG, 4, 400);
            simulation.run(pool, 2_000);
            CallerJobId next = jobs.submit(SimulatedJobs.LONG, 2, 200);
            simulation.run(pool, 500);
            assertThat(jobs.kind(next)).isEqualTo(Kind.COMPLETED);
        }

        @Test
        void isClaimedWithAHigherTokenAfterARestart() {
            addServers(1);
            Server server = simulation.servers.values().iterator().next();
            long tokenBefore = server.token;
            jobs.submit(SimulatedJobs.LONG, 2, 600);
            simulation.runMillis = run -> 600;
            simulation.run(pool, 100);
            server.restart();
            simulation.run(pool, 1_000);
            assertThat(server.token).isGreaterThan(tokenBefore);
            pool.assign(simulation.descriptors());
            assertThat(pool.load().freeMillicores()).isEqualTo(16_000);
        }

        /**
         * Guards against a task that runs twice: a start command that arrives after a restart, but before this host
         * detects the restart, is executed although all earlier runs are gone.
         */
        @Test
        void mayRunACommandSentBeforeItsRestartWasDetected() {
            addServers(2);
            Server server = simulation.servers.values().iterator().next();
            simulation.runMillis = run -> 900;
            simulation.restartsUnnoticed = true;
            server.restart();
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 4, 900);
            simulation.run(pool, REGISTRY_POLL_MILLIS);
            pool.assign(simulation.descriptors());
            simulation.run(pool, 4_000 - REGISTRY_POLL_MILLIS);
            assertThat(simulation.violations).isEmpty();
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
            assertThat(pool.load().freeMillicores()).isEqualTo(32_000);
        }
    }

    @Nested
    class FailingServers {
        @Test
        void areAvoidedWhenEveryTaskFails() {
            addServers(4);
            Server failing = simulation.servers.values().iterator().next();
            failing.fault = StartFault.FAILS;
            for (int i = 0; i < 40; i++) {
                simulation.after(i * 50L, () -> jobs.submit(SimulatedJobs.URGENT, 2, 100));
            }
            simulation.run(pool, 3_000);
            assertThat(jobs.count(SimulatedJobs.URGENT, Kind.COMPLETED)).isEqualTo(40);
        }

        @Test
        void areAvoidedWhenTasksStall() {
            addServers(4);
            Server failing = simulation.servers.values().iterator().next();
            failing.fault = StartFault.HANGS;
            for (int i = 0; i < 40; i++) {
                simulation.after(i * 50L, () -> jobs.submit(SimulatedJobs.URGENT, 2, 100));
            }
            simulation.run(pool, 4_000);
            assertThat(jobs.completedWithin(SimulatedJobs.URGENT, 160)).isGreaterThanOrEqualTo(32);
        }

        @Test
        void areNotPausedForATaskThatFailsEverywhere() {
            addServers(4);
            simulation.servers.values().forEach(server -> server.fault = StartFault.FAILS);
            CallerJobId id = jobs.submit(SimulatedJobs.URGENT, 1, 100);
            simulation.run(pool, 100);
            assertThat(jobs.kind(id)).isEqualTo(Kind.FAILED);
            assertThat(simulation.starts()).isEqualTo(3);
        }
    }

    @Nested
    class ASuccessor {
        @Test
        void startsNothingWhereThePreviousOwnersTasksStillRun() {
            addServers(2);
            simulation.runMillis = run -> 800;
            jobs.submit(SimulatedJobs.LONG, 4, 900);
            simulation.run(pool, 100);
            ServerPool successor = newPool(2);
            successor.assign(simulation.descriptors());
            SimulatedJobs later = new SimulatedJobs(simulation, successor);
            simulation.run(successor, 100);
            simulation.runMillis = run -> 100;
            later.submit(new CallerJobId("00000000000000ff"), SimulatedJobs.URGENT, 4, 100);
            simulation.run(successor, 1_500);
            assertThat(later.kind(new CallerJobId("00000000000000ff"))).isEqualTo(Kind.COMPLETED);
        }

        /**
         * Runs found at a claim count as present until the server lists their end, whatever commands the new owner
         * sent.
         */
        @Test
        void doesNotMarkAServerSilentForLackOfItsOwnCommands() {
            addServers(1);
            simulation.runMillis = run -> 800;
            jobs.submit(SimulatedJobs.LONG, 2, 900);
            simulation.run(pool, 100);
            List<String> states = new ArrayList<>();
            ServerPool successor = newPool(2, new PoolListener() {
                @Override
                public void onServerStateChanged(ServerId server, String state, String reason) {
                    states.add(state);
                }
            });
            successor.assign(simulation.descriptors());
            simulation.run(successor, 300);
            assertThat(states).containsExactly("usable");
        }

        @Test
        void makesThePreviousOwnerEndItsJobs() {
            addServers(2);
            simulation.runMillis = run -> 800;
            CallerJobId id = jobs.submit(SimulatedJobs.LONG, 4, 900);
            simulation.run(pool, 100);
            ServerPool successor = newPool(2);
            successor.assign(simulation.descriptors());
            simulation.run(successor, 60);
            simulation.run(pool, 300);
            assertThat(jobs.kind(id)).isEqualTo(Kind.ABANDONED);
        }
    }

    /** A woken dispatcher started tasks again whose callers had sent their jobs to another zone. */
    @Nested
    class ASuspendedProcess {
        private static final long SUSPENDED_MILLIS = 2_400;

        private CallerJobId job;

        @BeforeEach
        void startAJob() {
            addServers(2);
            simulation.runMillis = run -> 900;
            job = jobs.submit(new QueuePolicy("q", "service", 0, 3, 6, 2_000), 2, 900, 8_000);
            simulation.run(pool, 100);
            assertThat(simulation.starts()).isEqualTo(2);
        }

        @Test
        void startsNothingBeforeThereIsContactWithTheCaller() {
            contactMillis = simulation.millis();
            simulation.suspend(pool, SUSPENDED_MILLIS);
            simulation.run(pool, 300);
            assertThat(simulation.startCommands()).isEqualTo(2);
        }

        @Test
        void readsTheEndsOfRunsBeforeItTakesThemForLapsed() {
            simulation.suspend(pool, SUSPENDED_MILLIS);
            simulation.run(pool, 300);
            assertThat(simulation.starts()).isEqualTo(2);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
        }

        @Test
        void startsLapsedTasksAgainOnceThereIsContact() {
            simulation.runMillis = run -> 1_800;
            CallerJobId longer = jobs.submit(new QueuePolicy("q", "service", 0, 3, 6, 2_000), 1, 900, 8_000);
            simulation.run(pool, 100);
            contactMillis = simulation.millis();
            simulation.suspend(pool, SUSPENDED_MILLIS);
            simulation.run(pool, 100);
            contactMillis = Long.MAX_VALUE;
            simulation.run(pool, 2_200);
            assertThat(jobs.kind(longer)).isEqualTo(Kind.COMPLETED);
        }

        /** Its runs end within the validity of the last contact, though the lease was renewed after that. */
        @Test
        void leavesNoRunBehindAfterItsEntryHostWasLostFirst() {
            simulation.runMillis = run -> 5_000;
            jobs.submit(new QueuePolicy("q", "service", 0, 3, 6, 2_000), 2, 900, 8_000);
            simulation.run(pool, 100);
            contactMillis = simulation.millis();
            simulation.run(pool, 600);
            simulation.suspend(pool, SimulatedPools.CONTACT_VALIDITY_MILLIS - 600);
            assertThat(simulation.servers.values()).allMatch(server -> server.running.isEmpty());
        }
    }

    @Nested
    class WithoutContactToTheCaller {
        @Test
        void keepsAJobWaiting() {
            addServers(2);
            contactMillis = simulation.millis() - 2_000;
            CallerJobId job = jobs.submit(SimulatedJobs.LONG, 2, 100);
            simulation.run(pool, 100);
            assertThat(simulation.startCommands()).isZero();
            contactMillis = simulation.millis();
            simulation.run(pool, 300);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
        }

        @Test
        void doesNotDelayOtherJobs() {
            addServers(2);
            contactMillis = simulation.millis() - 2_000;
            jobs.submit(SimulatedJobs.URGENT, 2, 100);
            contactMillis = Long.MAX_VALUE;
            CallerJobId job = jobs.submit(SimulatedJobs.LONG, 2, 100);
            simulation.run(pool, 300);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
        }
    }
}
