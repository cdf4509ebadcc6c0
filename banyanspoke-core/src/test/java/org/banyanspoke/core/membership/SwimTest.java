package org.banyanspoke.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SwimTest {
    private static final int SIZE = 24;

    /**
     * Time to detect a dead member: at most two rounds of SIZE seconds until it is probed, 5 s of suspicion and the
     * dissemination.
     */
    private static final long DETECTION_MILLIS = 2 * SIZE * 1_000 + 15_000;

    private static void assertAll(SimulatedNetwork network, int index, MemberState state) {
        assertThat(network.observedStates(index)).allMatch(observed -> observed == state);
    }

    @Nested
    class Liveness {
        /**
         * Guards against a dead member that is never detected, which would be asked for quota loans and archives
         * indefinitely.
         */
        @Test
        void deadMemberIsDetectedByAllDespiteLoss() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.02, 1);
            network.run(60_000);
            network.stop(SimulatedNetwork.host(3));
            network.run(DETECTION_MILLIS);
            assertAll(network, 3, MemberState.DEAD);
        }

        /** Guards against message loss alone causing live members to be declared dead. */
        @Test
        void messageLossRarelyCausesFalseDeaths() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.05, 2);
            network.run(60_000);
            int dead = 0;
            for (int second = 0; second < 300; second++) {
                network.run(1_000);
                for (int index = 0; index < SIZE; index++) {
                    dead += network.observedStates(index).contains(MemberState.DEAD) ? 1 : 0;
                }
            }
            assertThat(dead).isLessThan(300 * SIZE / 100);
        }

        /** Guards against a restarted process being mistaken for its dead predecessor. */
        @Test
        void restartedHostIsAliveForAll() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.02, 3);
            network.run(60_000);
            network.stop(SimulatedNetwork.host(3));
            network.run(DETECTION_MILLIS);
            network.start(SimulatedNetwork.host(3), 2);
            network.run(60_000);
            assertAll(network, 3, MemberState.ALIVE);
            Incarnation known = network.member(0)
                    .table()
                    .find(SimulatedNetwork.host(3))
                    .orElseThrow()
                    .latest()
                    .incarnation();
            assertThat(known).isEqualTo(network.member(3).table().self().incarnation());
        }

        /** Guards against the two sides of a healed partition considering each other dead indefinitely. */
        @Test
        void membersRecoverAfterPartition() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.02, 4);
            network.run(60_000);
            network.partition((from, to) -> number(from) < 8 && number(to) >= 8);
            network.run(DETECTION_MILLIS);
            assertThat(network.member(0).table().live()).hasSize(7);
            assertThat(network.member(20).table().live()).hasSize(15);
            network.partition((from, to) -> false);
            network.run(60_000);
            for (int index = 0; index < SIZE; index++) {
                assertAll(network, index, MemberState.ALIVE);
            }
        }

        /** Guards against a member that has left being probed or considered alive. */
        @Test
        void leftMemberStaysLeft() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.02, 5);
            network.run(60_000);
            network.member(3).table().leave();
            network.run(5_000);
            network.stop(SimulatedNetwork.host(3));
            network.run(60_000);
            assertAll(network, 3, MemberState.LEFT);
        }

        private int number(HostId host) {
            return Integer.parseInt(host.value().substring(1));
        }
    }

    @Nested
    class Dissemination {
        private final SimulatedNetwork network = new SimulatedNetwork(SIZE, 0.02, 6);
        private final ServerId server = new ServerId("s1");

        /** Guards against a leaving backend server receiving tasks from hosts that did not receive its answer. */
        @Test
        void leavingServerIsKnownToAllAndReturnsByTicket() {
            network.run(10_000);
            network.member(0).servers().onAnswer(server, "i1", true, 7);
            network.run(10_000);
            for (int index = 0; index < SIZE; index++) {
                assertThat(network.member(index).servers().leaving()).containsExactly(server);
            }
            Ticket ticket =
                    new Ticket(8, "t", "alice", new Ticket.Put(null, null, List.of(inService()), null, null), null);
            network.member(5).servers().onTicket(ticket);
            network.run(10_000);
            for (int index = 0; index < SIZE; index++) {
                assertThat(network.member(index).servers().leaving()).isEmpty();
            }
        }

        /** Guards against a lagging host list taking a server out of service again after a ticket. */
        @Test
        void unchangedHostListDoesNotOverrideTicket() {
            LeavingServers servers = network.member(0).servers();
            servers.onListed(java.util.Set.of(server), 7);
            assertThat(servers.leaving()).containsExactly(server);
            Ticket ticket =
                    new Ticket(8, "t", "alice", new Ticket.Put(null, null, List.of(inService()), null, null), null);
            servers.onTicket(ticket);
            servers.onListed(java.util.Set.of(server), 8);
            assertThat(servers.leaving()).isEmpty();
        }

        /** Guards against requests for a stopped process not finding the holder of its archive. */
        @Test
        void successorOfRetiredProcessIsKnownToAll() {
            Incarnation ended = new Incarnation(99);
            network.run(10_000);
            network.member(0)
                    .retired()
                    .merge(new RetiredUpdate(ended, SimulatedNetwork.host(0), SimulatedNetwork.host(1), 1, 0));
            network.run(10_000);
            for (int index = 0; index < SIZE; index++) {
                assertThat(network.member(index)
                                .retired()
                                .find(ended)
                                .orElseThrow()
                                .successor())
                        .isEqualTo(SimulatedNetwork.host(1));
            }
            network.run(RetiredProcesses.RETENTION_MILLIS);
            assertThat(network.member(7).retired().updates()).isEmpty();
        }

        private org.banyanspoke.api.config.BackendServerConfig inService() {
            return new org.banyanspoke.api.config.BackendServerConfig(
                    server, new ZoneId("z1"), "r1", "10.0.0.1:1", 8, 64, null, ServerState.IN_SERVICE);
        }
    }

    @Nested
    class Limits {
        /** Guards against messages that grow with the number of changes beyond the limit of updates in a message. */
        @Test
        void messageHoldsAtMostMaxUpdates() {
            GossipBuffer buffer = new GossipBuffer();
            for (int i = 0; i < 100; i++) {
                buffer.add(new MemberUpdate(SimulatedNetwork.host(i), new Incarnation(i), 1, MemberState.ALIVE));
            }
            assertThat(buffer.take(Swim.MAX_UPDATES, 180)).hasSize(Swim.MAX_UPDATES);
            for (int message = 0; message < 100 * GossipBuffer.transmissions(180) / Swim.MAX_UPDATES; message++) {
                buffer.take(Swim.MAX_UPDATES, 180);
            }
            assertThat(buffer.size()).isZero();
        }

        /** Guards against an idle cluster sending more than one probe and its answer per member per second. */
        @Test
        void idleMembersSendOneProbePerSecond() {
            SimulatedNetwork network = new SimulatedNetwork(SIZE, 0, 7);
            network.run(30_000);
            long before = network.messages();
            network.run(100_000);
            assertThat(network.messages() - before).isBetween(2L * SIZE * 95, 2L * SIZE * 101);
        }
    }
}
