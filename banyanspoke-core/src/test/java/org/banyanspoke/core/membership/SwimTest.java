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

    /** Each member is probed within one round of SIZE seconds; then 5 s of suspicion and the spreading of the news. */
    private static final long FIND_DEAD_MILLIS = 2 * SIZE * 1_000 + 15_000;

    private static void assertAll(FakeNetwork network, int index, MemberState state) {
        assertThat(network.opinionsOn(index)).allMatch(opinion -> opinion == state);
    }

    @Nested
    class Liveness {
        /** Guards against a member that is never found dead, which would be asked for loans and archives for ever. */
        @Test
        void deadMemberIsFoundByAllWithLoss() {
            FakeNetwork network = new FakeNetwork(SIZE, 0.02, 1);
            network.run(60_000);
            network.stop(FakeNetwork.host(3));
            network.run(FIND_DEAD_MILLIS);
            assertAll(network, 3, MemberState.DEAD);
        }

        /** Guards against lost messages alone making members believe that others are dead. */
        @Test
        void lossAloneKillsNobodyForLong() {
            FakeNetwork network = new FakeNetwork(SIZE, 0.05, 2);
            network.run(60_000);
            int dead = 0;
            for (int second = 0; second < 300; second++) {
                network.run(1_000);
                for (int index = 0; index < SIZE; index++) {
                    dead += network.opinionsOn(index).contains(MemberState.DEAD) ? 1 : 0;
                }
            }
            assertThat(dead).isLessThan(300 * SIZE / 100);
        }

        /** Guards against a restarted process being taken for its dead predecessor. */
        @Test
        void newProcessOfADeadHostIsAcceptedByAll() {
            FakeNetwork network = new FakeNetwork(SIZE, 0.02, 3);
            network.run(60_000);
            network.stop(FakeNetwork.host(3));
            network.run(FIND_DEAD_MILLIS);
            network.start(FakeNetwork.host(3), 2);
            network.run(60_000);
            assertAll(network, 3, MemberState.ALIVE);
            Incarnation known = network.member(0)
                    .table()
                    .find(FakeNetwork.host(3))
                    .orElseThrow()
                    .latest()
                    .incarnation();
            assertThat(known).isEqualTo(network.member(3).table().self().incarnation());
        }

        /** Guards against the two sides of a healed partition holding each other for dead for ever. */
        @Test
        void partitionHeals() {
            FakeNetwork network = new FakeNetwork(SIZE, 0.02, 4);
            network.run(60_000);
            network.cut((from, to) -> number(from) < 8 && number(to) >= 8);
            network.run(FIND_DEAD_MILLIS);
            assertThat(network.member(0).table().live()).hasSize(7);
            assertThat(network.member(20).table().live()).hasSize(15);
            network.cut((from, to) -> false);
            network.run(60_000);
            for (int index = 0; index < SIZE; index++) {
                assertAll(network, index, MemberState.ALIVE);
            }
        }

        /** Guards against a member that has left being probed or believed to be alive. */
        @Test
        void leftMemberStaysLeft() {
            FakeNetwork network = new FakeNetwork(SIZE, 0.02, 5);
            network.run(60_000);
            network.member(3).table().leave();
            network.run(5_000);
            network.stop(FakeNetwork.host(3));
            network.run(60_000);
            assertAll(network, 3, MemberState.LEFT);
        }

        private int number(HostId host) {
            return Integer.parseInt(host.value().substring(1));
        }
    }

    @Nested
    class Spreading {
        private final FakeNetwork network = new FakeNetwork(SIZE, 0.02, 6);
        private final ServerId server = new ServerId("s1");

        /** Guards against a leaving backend server receiving work from hosts that have not seen its answer. */
        @Test
        void leavingServerIsKnownEverywhereAndComesBackWithATicket() {
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
        void unchangedHostListDoesNotOverruleATicket() {
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
        void successorOfARetiredProcessIsKnownEverywhere() {
            Incarnation gone = new Incarnation(99);
            network.run(10_000);
            network.member(0).retired().merge(new RetiredUpdate(gone, FakeNetwork.host(0), FakeNetwork.host(1), 1, 0));
            network.run(10_000);
            for (int index = 0; index < SIZE; index++) {
                assertThat(network.member(index)
                                .retired()
                                .find(gone)
                                .orElseThrow()
                                .successor())
                        .isEqualTo(FakeNetwork.host(1));
            }
            network.run(RetiredProcesses.KEEP_MILLIS);
            assertThat(network.member(7).retired().updates()).isEmpty();
        }

        private org.banyanspoke.api.config.BackendServerConfig inService() {
            return new org.banyanspoke.api.config.BackendServerConfig(
                    server, new ZoneId("z1"), "r1", "10.0.0.1:1", 8, 64, null, ServerState.IN_SERVICE);
        }
    }

    @Nested
    class Bounds {
        /** Guards against gossip that grows with the number of changes instead of the limit of a message. */
        @Test
        void oneMessageHoldsAtMostTheLimit() {
            GossipBuffer buffer = new GossipBuffer();
            for (int i = 0; i < 100; i++) {
                buffer.add(new MemberUpdate(FakeNetwork.host(i), new Incarnation(i), 1, MemberState.ALIVE));
            }
            assertThat(buffer.take(Swim.MAX_UPDATES, 180)).hasSize(Swim.MAX_UPDATES);
            for (int message = 0; message < 100 * GossipBuffer.transmissions(180) / Swim.MAX_UPDATES; message++) {
                buffer.take(Swim.MAX_UPDATES, 180);
            }
            assertThat(buffer.size()).isZero();
        }

        /** Guards against an idle cluster sending more than a probe and its answer per member and second. */
        @Test
        void idleMembersSendOneProbeASecond() {
            FakeNetwork network = new FakeNetwork(SIZE, 0, 7);
            network.run(30_000);
            long before = network.messages();
            network.run(100_000);
            assertThat(network.messages() - before).isBetween(2L * SIZE * 95, 2L * SIZE * 101);
        }
    }
}
