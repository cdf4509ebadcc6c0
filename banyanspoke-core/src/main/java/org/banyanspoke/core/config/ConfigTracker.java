package org.banyanspoke.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.json.Json;

/**
 * Tracks the accepted configuration of one host and the log offset up to which it is applied.
 *
 * <p>Invariant: the configuration is the result of every log record before {@link #nextOffset()}. Log pages, pushed
 * tickets and configurations of peers all preserve it, and the number never decreases. If the log has discarded records
 * that this host has not read, the tracker {@linkplain #hasGap() has a gap}: it accepts no ticket from the log until a
 * snapshot or the configuration of a peer covers the gap. Not thread safe.
 */
public final class ConfigTracker {
    private final int retainedTickets;
    private final TreeMap<Long, AcceptedTicket> tickets = new TreeMap<>();
    private ConfigState state = ConfigState.EMPTY;
    private long nextOffset;
    private long firstRetainedOffset;
    private long scanOffset;
    private long lastSnapshotNumber;

    /**
     * @param retainedTickets number of latest accepted tickets that are retained for lookups and peers
     */
    public ConfigTracker(int retainedTickets) {
        this.retainedTickets = retainedTickets;
    }

    /** Returns the accepted configuration. */
    public ConfigState state() {
        return state;
    }

    /** Returns the offset of the first record that is not part of the configuration. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns whether the log has discarded records at or after {@link #nextOffset()}. */
    public boolean hasGap() {
        return nextOffset < firstRetainedOffset;
    }

    /** Returns the offset at which the next page of the log starts. */
    public long nextReadOffset() {
        return hasGap() ? scanOffset : nextOffset;
    }

    /** Returns the highest number of the snapshots read from the log, or 0 if none was read. */
    public long lastSnapshotNumber() {
        return lastSnapshotNumber;
    }

    /** Returns the current configuration as a snapshot. */
    public ConfigSnapshot snapshot() {
        return ConfigSnapshot.of(state, nextOffset);
    }

    /** Returns the accepted ticket with the given number if it is still retained. */
    public Optional<AcceptedTicket> ticket(long number) {
        return Optional.ofNullable(tickets.get(number));
    }

    /** Returns at most {@code limit} of the latest retained tickets, newest first. */
    public List<AcceptedTicket> latestTickets(int limit) {
        return tickets.descendingMap().values().stream().limit(limit).toList();
    }

    /** Returns the retained tickets with higher numbers in ascending order; empty if the next one is not retained. */
    public List<AcceptedTicket> ticketsAfter(long number) {
        if (!tickets.containsKey(number + 1)) {
            return List.of();
        }
        return List.copyOf(tickets.tailMap(number, false).values());
    }

    /**
     * Applies records read from {@link #nextReadOffset()} onwards. Ignores records that are already applied.
     *
     * @param records records with consecutive offsets
     * @return tickets accepted by this call, in order
     */
    public List<AcceptedTicket> onRecords(List<LogRecord> records) {
        List<AcceptedTicket> accepted = new ArrayList<>();
        for (LogRecord logRecord : records) {
            if (hasGap()) {
                scanForSnapshot(logRecord);
            } else if (logRecord.offset() == nextOffset) {
                processRecord(logRecord).ifPresent(accepted::add);
            }
        }
        return accepted;
    }

    /**
     * Handles the removal of old records from the log.
     *
     * @param firstOffset offset of the oldest record that is still in the log
     */
    public void onExpired(long firstOffset) {
        if (firstOffset <= firstRetainedOffset) {
            return;
        }
        firstRetainedOffset = firstOffset;
        scanOffset = Math.max(scanOffset, firstOffset);
    }

    /**
     * Applies a ticket that a peer has accepted.
     *
     * @return whether the ticket was applied; false if it is old, not the next one or invalid
     */
    public boolean onPeerTicket(AcceptedTicket accepted) {
        boolean next = accepted.ticket().number() == state.number() + 1 && accepted.offset() >= nextOffset;
        return next && apply(accepted);
    }

    /**
     * Adopts the configuration of a peer if it is newer, or only its log offset if the numbers are equal.
     *
     * @return whether the number has increased
     */
    public boolean onPeerSnapshot(ConfigSnapshot snapshot) {
        return adopt(snapshot);
    }

    private Optional<AcceptedTicket> processRecord(LogRecord logRecord) {
        recordSnapshotNumber(logRecord.body());
        Optional<AcceptedTicket> accepted = parse(logRecord.body(), "ticket", Ticket.class)
                .map(ticket -> new AcceptedTicket(ticket, logRecord.offset()))
                .filter(this::apply);
        nextOffset = logRecord.offset() + 1;
        return accepted;
    }

    private boolean apply(AcceptedTicket accepted) {
        try {
            state = TicketReducer.apply(state, accepted.ticket());
        } catch (InvalidTicketException e) {
            return false;
        }
        nextOffset = accepted.offset() + 1;
        retain(accepted);
        return true;
    }

    private void retain(AcceptedTicket accepted) {
        tickets.put(accepted.ticket().number(), accepted);
        if (tickets.size() > retainedTickets) {
            tickets.pollFirstEntry();
        }
    }

    /** Adopts a snapshot that covers the gap: the records from its offset onwards must still be in the log. */
    private void scanForSnapshot(LogRecord logRecord) {
        if (logRecord.offset() != scanOffset) {
            return;
        }
        scanOffset++;
        Optional<ConfigSnapshot> snapshot = recordSnapshotNumber(logRecord.body());
        snapshot.filter(s -> s.nextOffset() >= firstRetainedOffset).ifPresent(this::adopt);
    }

    private boolean adopt(ConfigSnapshot snapshot) {
        if (snapshot.number() < state.number() || snapshot.nextOffset() <= nextOffset) {
            return false;
        }
        boolean newer = snapshot.number() > state.number();
        if (newer) {
            state = snapshot.toState();
        }
        nextOffset = snapshot.nextOffset();
        return newer;
    }

    private Optional<ConfigSnapshot> recordSnapshotNumber(JsonNode body) {
        Optional<ConfigSnapshot> snapshot = parse(body, "snapshot", ConfigSnapshot.class);
        snapshot.ifPresent(s -> lastSnapshotNumber = Math.max(lastSnapshotNumber, s.number()));
        return snapshot;
    }

    /** Returns empty for records that cannot be parsed, so that every host ignores the same ones. */
    private static <T> Optional<T> parse(JsonNode body, String field, Class<T> type) {
        Iterator<String> names = body.fieldNames();
        if (!names.hasNext() || !field.equals(names.next()) || names.hasNext()) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(Json.mapper().treeToValue(body.get(field), type));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
