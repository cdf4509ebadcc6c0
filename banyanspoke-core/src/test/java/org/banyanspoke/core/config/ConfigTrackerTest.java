package org.banyanspoke.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.config.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigTrackerTest {
    private final ConfigTracker tracker = new ConfigTracker(10);
    private final List<LogRecord> log = new ArrayList<>();

    private void append(JsonNode body) {
        log.add(new LogRecord(log.size(), body));
    }

    private void append(long number, String ticketId) {
        append(Tickets.body(Tickets.shares(number, ticketId)));
    }

    private List<String> read(int from, int to) {
        return tracker.onRecords(log.subList(from, to)).stream()
                .map(accepted -> accepted.ticket().ticketId())
                .toList();
    }

    private List<String> readAll() {
        return read(0, log.size());
    }

    @Nested
    class LogOrder {
        /** Guards against two tickets with the same number both being reported as accepted. */
        @Test
        void firstOfTwoTicketsWithSameNumberIsAccepted() {
            append(1, "alice-1");
            append(1, "bob-1");
            append(2, "bob-2");
            assertThat(readAll()).containsExactly("alice-1", "bob-2");
            assertThat(tracker.ticket(1).orElseThrow().ticket().ticketId()).isEqualTo("alice-1");
        }

        /** Guards against a ticket being applied twice after a repeated append or a page read twice. */
        @Test
        void duplicatesAndOverlappingPagesChangeNothing() {
            append(1, "a");
            append(1, "a");
            append(2, "b");
            assertThat(read(0, 2)).containsExactly("a");
            assertThat(read(0, 3)).containsExactly("b");
            assertThat(readAll()).isEmpty();
            assertThat(tracker.state().number()).isEqualTo(2);
        }

        /** Guards against records being skipped when a page starts beyond the next offset. */
        @Test
        void pageBeyondNextOffsetIsIgnored() {
            append(1, "a");
            append(2, "b");
            assertThat(read(1, 2)).isEmpty();
            assertThat(tracker.nextReadOffset()).isZero();
        }

        /** Guards against one malformed or invalid record stopping all later tickets. */
        @Test
        void invalidRecordsAreSkipped() {
            append(TextNode.valueOf("noise"));
            append(Tickets.body(new Ticket(1, "empty", "alice", null, null)));
            append(5, "too-high");
            append(1, "good");
            assertThat(readAll()).containsExactly("good");
            assertThat(tracker.nextOffset()).isEqualTo(4);
        }
    }

    @Nested
    class ExpiredRecords {
        /** Guards against a ticket after a gap being accepted although its validity depends on the missing tickets. */
        @Test
        void noTicketIsAcceptedAfterGap() {
            append(1, "lost");
            append(1, "rejected-by-all-others");
            tracker.onExpired(1);
            assertThat(read(1, 2)).isEmpty();
            assertThat(tracker.hasGap()).isTrue();
            assertThat(tracker.state()).isEqualTo(ConfigState.EMPTY);
        }

        /** Guards against a ticket between a snapshot's offset and the snapshot record being missed. */
        @Test
        void recordsBetweenSnapshotOffsetAndItsRecordAreReplayed() {
            append(1, "a");
            readAll();
            ConfigSnapshot snapshot = tracker.snapshot();
            append(2, "before-snapshot-record");
            append(Tickets.body(snapshot));
            append(2, "rejected");
            ConfigTracker lateTracker = new ConfigTracker(10);
            lateTracker.onExpired(1);
            lateTracker.onRecords(log.subList(1, 4));
            assertThat(lateTracker.nextReadOffset()).isEqualTo(1);
            lateTracker.onRecords(log.subList(1, 4));
            assertThat(lateTracker.state().number()).isEqualTo(2);
            assertThat(lateTracker.ticket(2).orElseThrow().ticket().ticketId()).isEqualTo("before-snapshot-record");
        }

        /** Guards against a snapshot being adopted although records after its offset are no longer in the log. */
        @Test
        void snapshotFromBeforeTheGapIsIgnored() {
            append(1, "a");
            readAll();
            ConfigSnapshot stale = tracker.snapshot();
            append(2, "lost");
            append(Tickets.body(stale));
            append(2, "rejected-by-all-others");
            ConfigTracker lateTracker = new ConfigTracker(10);
            lateTracker.onExpired(2);
            lateTracker.onRecords(log.subList(2, 4));
            assertThat(lateTracker.hasGap()).isTrue();
            assertThat(lateTracker.state()).isEqualTo(ConfigState.EMPTY);
        }
    }

    @Nested
    class Peers {
        /** Guards against a host that was disconnected reverting to the older configuration of a peer. */
        @Test
        void olderPeerSnapshotsAndTicketsAreIgnored() {
            append(1, "a");
            append(2, "b");
            read(0, 1);
            ConfigSnapshot old = tracker.snapshot();
            AcceptedTicket first = tracker.ticket(1).orElseThrow();
            read(0, 2);
            assertThat(tracker.onPeerSnapshot(old)).isFalse();
            assertThat(tracker.onPeerTicket(first)).isFalse();
            assertThat(tracker.state().number()).isEqualTo(2);
        }

        /**
         * Guards against a rejected record being accepted because a pushed ticket from a later offset made its number
         * the next one.
         */
        @Test
        void peerTicketAdvancesLogPosition() {
            append(2, "too-early");
            append(1, "a");
            append(2, "b");
            AcceptedTicket pushed = new AcceptedTicket(Tickets.shares(1, "a"), 1);
            assertThat(tracker.onPeerTicket(pushed)).isTrue();
            assertThat(readAll()).containsExactly("b");
        }
    }
}
