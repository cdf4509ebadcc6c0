package org.banyanspoke.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.TeamId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TicketReducerTest {
    private final Ticket teamAndBatch =
            Tickets.put(1, "t1", List.of(Tickets.team("a")), List.of(Tickets.batch("b", "a")), null);

    private static List<String> faults(ConfigState before, Ticket ticket) {
        InvalidTicketException e =
                catchThrowableOfType(InvalidTicketException.class, () -> TicketReducer.apply(before, ticket));
        assertThat(e).as("ticket %s must be rejected", ticket).isNotNull();
        return e.faults();
    }

    private static Ticket remove(long number, Ticket.Remove remove) {
        return new Ticket(number, "r", "alice", null, remove);
    }

    @Nested
    class Accepted {
        /** Guards against a put that keeps parts of the object it replaces. */
        @Test
        void putReplacesTheWholeObjectAndKeepsTheRest() throws Exception {
            ConfigState first = TicketReducer.apply(ConfigState.EMPTY, teamAndBatch);
            TeamConfig heavier =
                    new TeamConfig(new TeamId("a"), 7, 1, 1, Tickets.team("a").tokenSha256());
            ConfigState second = TicketReducer.apply(first, Tickets.put(2, "t2", List.of(heavier), List.of(), null));
            assertThat(second.number()).isEqualTo(2);
            assertThat(second.teams()).containsValue(heavier).hasSize(1);
            assertThat(second.batches()).isEqualTo(first.batches());
            assertThat(second.classShares()).isEqualTo(ClassShares.DEFAULT);
        }

        /** Guards against a snapshot that loses or changes an object in the conversion to and from JSON. */
        @Test
        void snapshotRestoresTheSameState() throws Exception {
            ConfigState state = TicketReducer.apply(ConfigState.EMPTY, teamAndBatch);
            ConfigTracker tracker = new ConfigTracker(10);
            tracker.onExpired(5);
            tracker.onRecords(List.of(new LogRecord(5, Tickets.body(ConfigSnapshot.of(state, 5)))));
            assertThat(tracker.state()).isEqualTo(state);
        }
    }

    @Nested
    class Rejected {
        /** Guards against operators having to resubmit a ticket once for each fault. */
        @Test
        void allFaultsAreReportedTogether() {
            TeamConfig team = new TeamConfig(new TeamId("a"), 0, -1, 0, "XY");
            Ticket.Put put = new Ticket.Put(
                    List.of(team),
                    List.of(),
                    List.of(Tickets.server("s", "10.0.0.256:80", ServerState.IN_SERVICE)),
                    List.of(Tickets.host("h", "localhost:1")),
                    new ClassShares(50, 50, 1));
            assertThat(faults(ConfigState.EMPTY, new Ticket(3, "", " ", put, null)))
                    .anyMatch(fault -> fault.equals("number is 3, the next number is 1"))
                    .anyMatch(fault -> fault.startsWith("ticketId"))
                    .anyMatch(fault -> fault.startsWith("author"))
                    .anyMatch(fault -> fault.contains("weight is 0"))
                    .anyMatch(fault -> fault.contains("startsPerSecond is -1"))
                    .anyMatch(fault -> fault.contains("tasksInFlight is 0"))
                    .anyMatch(fault -> fault.contains("tokenSha256"))
                    .anyMatch(fault -> fault.contains("\"10.0.0.256:80\" is not ip:port"))
                    .anyMatch(fault -> fault.contains("\"localhost:1\" is not ip:port"))
                    .anyMatch(fault -> fault.contains("the sum is 101"))
                    .hasSize(10);
        }

        /** Guards against a batch without a team, which no client could use or be billed for. */
        @Test
        void batchOfUnknownTeamIsRejected() throws Exception {
            Ticket ticket = Tickets.put(1, "t", List.of(), List.of(Tickets.batch("b", "nobody")), null);
            assertThat(faults(ConfigState.EMPTY, ticket))
                    .containsExactly("batch \"b\": team \"nobody\" does not exist");
            ConfigState state = TicketReducer.apply(ConfigState.EMPTY, teamAndBatch);
            Ticket.Remove owner = new Ticket.Remove(List.of(new TeamId("a")), null, null, null);
            assertThat(faults(state, remove(2, owner))).containsExactly("batch \"b\": team \"a\" does not exist");
        }

        /** Guards against the result depending on the order of contradictory entries. */
        @Test
        void duplicateOrUnknownEntryIsRejected() throws Exception {
            Ticket twice = Tickets.put(1, "t", List.of(Tickets.team("a"), Tickets.team("a")), List.of(), null);
            assertThat(faults(ConfigState.EMPTY, twice)).containsExactly("team \"a\" is listed more than once");
            Ticket.Remove unknown = new Ticket.Remove(List.of(new TeamId("x")), null, null, null);
            assertThat(faults(ConfigState.EMPTY, remove(1, unknown)))
                    .containsExactly("remove: team \"x\" does not exist");
        }

        /** Guards against two processes with one address, which would receive each other's traffic. */
        @Test
        void duplicateAddressIsRejected() {
            Ticket.Put put = new Ticket.Put(
                    null,
                    null,
                    List.of(
                            Tickets.server("s1", "10.0.0.1:80", ServerState.IN_SERVICE),
                            Tickets.server("s2", "10.0.0.1:80", ServerState.IN_SERVICE)),
                    null,
                    null);
            assertThat(faults(ConfigState.EMPTY, new Ticket(1, "t", "alice", put, null)))
                    .containsExactly("2 servers have the same value \"10.0.0.1:80\"");
        }

        /** Guards against an empty ticket consuming a number. */
        @Test
        void emptyTicketIsRejected() {
            assertThat(faults(ConfigState.EMPTY, new Ticket(1, "t", "alice", null, null)))
                    .containsExactly("the ticket changes nothing");
        }
    }
}
