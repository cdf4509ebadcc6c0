package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against tasks on servers that no longer have what the tasks require, because they have restarted. */
class RestartedServersTest {
    /** Period in which a dispatcher reads the registry. */
    private static final long REGISTRY_POLL_MILLIS = 400;

    private final QueuePolicy patient = new QueuePolicy("q", "service", 0, 3, 6, 2_000);
    private final SimulatedServers simulation = new SimulatedServers();
    private final List<String> states = new ArrayList<>();
    private final List<ServerId> startedOn = new ArrayList<>();
    private final List<Kind> outcomes = new ArrayList<>();
    private final ServerPool pool = newPool(1, new PoolListener() {
        @Override
        public void onServerStateChanged(ServerId server, String state, String reason) {
            states.add(state);
        }

        @Override
        public void onRunStarted(RunKey run, ServerId server, long expectedMillis) {
            startedOn.add(server);
            lastExpectedMillis = expectedMillis;
        }
    });
    private long lastExpectedMillis;
    private Server server;
    private int submitted;

    private ServerPool newPool(long registration, PoolListener listener) {
        return SimulatedPools.create(simulation, registration, 1, CallerContact.ALWAYS, listener);
    }

    private void addServer(String kind) {
        server = simulation.add("s0", kind, 16_000);
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    private CallerJobId submit(String label, long estimateMillis) {
        submitted++;
        CallerJobId id = new CallerJobId("00000000000000a" + submitted);
        pool.submit(
                new PooledJob(
                        id,
                        patient,
                        "work",
                        1,
                        new TaskRequirements(1_000, 100, 0, estimateMillis, label, "", 0),
                        0,
                        8_000),
                outcome -> outcomes.add(outcome.kind()));
        return id;
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    /** Review case 3: tasks were started by the labels of the entry before, which the server no longer had. */
    @Nested
    class AServerThatRestartsAsAnotherKind {
        @BeforeEach
        void startATask() {
            addServer("a");
            simulation.runMillis = run -> 600;
            submit("a", 600);
            simulation.run(pool, 100);
            assertThat(simulation.startCommands()).isEqualTo(1);
        }

        @Test
        void getsNoTaskUntilItsNewDescriptorIsKnown() {
            server.restart("b");
            simulation.run(pool, 1_000);
            assertThat(simulation.startCommands()).isEqualTo(1);
            assertThat(states).containsExactly("usable", "claiming", "outdated");
            submit("", 600);
            assertThat(outcomes).containsExactly(Kind.REFUSED);
        }

        @Test
        void isClaimedAtOnce() {
            long tokenBefore = server.token;
            server.restart("b");
            simulation.run(pool, 300);
            assertThat(server.token).isGreaterThan(tokenBefore);
        }

        @Test
        void getsTheTasksThatItsNewLabelsAllow() {
            server.restart("b");
            simulation.run(pool, 400);
            pool.assign(simulation.descriptors());
            assertThat(states).endsWith("usable");
            submit("b", 600);
            simulation.run(pool, 1_000);
            assertThat(simulation.startCommands()).isEqualTo(2);
            assertThat(outcomes).containsExactly(Kind.COMPLETED);
        }

        @Test
        void getsNoTaskByTheDescriptorOfAStartInBetween() {
            server.restart("a");
            ServerDescriptor inBetween = server.descriptor;
            simulation.run(pool, 50);
            server.restart("b");
            simulation.run(pool, 400);
            pool.assign(List.of(inBetween));
            simulation.run(pool, 1_000);
            assertThat(simulation.startCommands()).isEqualTo(1);
        }

        @Test
        void getsNoTaskFromANewDispatcherThatReadsAnOldRegistry() {
            List<ServerDescriptor> oldEntries = simulation.descriptors();
            server.restart("b");
            ServerPool successor = newPool(2, PoolListener.NONE);
            successor.assign(oldEntries);
            simulation.run(successor, 300);
            assertThat(successor.load().capacityMillicores()).isZero();
            successor.assign(simulation.descriptors());
            assertThat(successor.load().capacityMillicores()).isEqualTo(16_000);
        }

        @Test
        void isUsableIfItsDescriptorHasNoStartTime() {
            server.restart("b", 0);
            pool.assign(simulation.descriptors());
            simulation.run(pool, 400);
            submit("b", 600);
            simulation.run(pool, 1_000);
            assertThat(outcomes).containsExactly(Kind.COMPLETED);
        }

        /** The run times of the earlier kind determined whether a task could meet its target. */
        @Test
        void isJudgedByTheRunTimesOfItsNewKind() {
            server.slowdown = 3;
            simulation.run(pool, 600);
            submit("a", 600);
            simulation.run(pool, 2_000);
            server.restart("b");
            pool.assign(simulation.descriptors());
            simulation.run(pool, 400);
            submit("b", 600);
            assertThat(lastExpectedMillis).isEqualTo(600);
        }
    }

    /** Review case 9: such a server was used by the labels of its earlier start until the registry was read again. */
    @Nested
    class AnIdleServerThatRestarts {
        @BeforeEach
        void addIdleServer() {
            addServer("b");
        }

        /** Guards against a task on a server without the label that it requires. */
        @Test
        void startsNothingByTheLabelsOfItsEarlierStart() {
            server.restart("a");
            submit("b", 100);
            simulation.run(pool, REGISTRY_POLL_MILLIS);
            assertThat(simulation.starts()).isZero();
            assertThat(server.running).isEmpty();
        }

        /** Guards against a restart that is found only by the next read of the registry. */
        @Test
        void isClaimedAsSoonAsAStartFindsTheRestart() {
            long tokenBefore = server.token;
            server.restart("a");
            submit("b", 100);
            simulation.run(pool, 60);
            assertThat(server.token).isGreaterThan(tokenBefore);
        }

        /** Guards against a task that is lost because its start was refused. */
        @Test
        void leavesTheTaskToAnotherServer() {
            // More free room makes it the second choice.
            Server other = simulation.add("s1", "b", 17_000);
            pool.assign(simulation.descriptors());
            simulation.run(pool, 100);
            server.restart("a");
            submit("b", 100);
            simulation.run(pool, REGISTRY_POLL_MILLIS);
            assertThat(outcomes).containsExactly(Kind.COMPLETED);
            assertThat(startedOn).containsExactly(server.descriptor.id(), other.descriptor.id());
            assertThat(simulation.starts()).isEqualTo(1);
        }

        /** Guards against starts that are refused for ever after a restart. */
        @Test
        void runsTasksOfItsNewLabelsOnceItsDescriptorIsKnown() {
            server.restart("a");
            CallerJobId id = submit("b", 100);
            simulation.run(pool, REGISTRY_POLL_MILLIS);
            pool.assign(simulation.descriptors());
            simulation.run(pool, 100);
            pool.cancel(id, "no server has the label");
            submit("a", 100);
            simulation.run(pool, 500);
            assertThat(outcomes).endsWith(Kind.COMPLETED);
        }
    }
}
