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
 * The accepted configuration of one host and its position in the log.
 *
 * <p>Invariant: the configuration is the result of every log record before {@link #nextOffset()}. Log pages, pushed
 * tickets and answers of peers all keep it, and the number never goes down. If the log has dropped records that this host
 * did not see, the tracker {@linkplain #hasGap() has a gap}: it accepts no ticket from the log until a snapshot or a peer
 * leads past the gap. Not thread safe.
 */
public final class ConfigTracker {
    private final int rememberedTickets;
    private final TreeMap<Long, AcceptedTicket> tickets = new TreeMap<>();
    private ConfigState state = ConfigState.EMPTY;
    private long nextOffset;
    private long firstRetainedOffset;
    private long scanOffset;
    private long lastSnapshotNumber;

    /**
     * @param rememberedTickets how many of the latest accepted tickets are kept for lookups and peers
     */
    public ConfigTracker(int rememberedTickets) {
        this.rememberedTickets = rememberedTickets;
    }

    /** Returns the accepted configuration. */
    public ConfigState state() {
        return state;
    }

    /** Returns the offset up to which (exclusive) every record is part of the configuration. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns whether records between {@link #nextOffset()} and the oldest kept one are gone. */
    public boolean hasGap() {
        return nextOffset < firstRetainedOffset;
    }

    /** Returns the offset from which the next page of the log is to be read. */
    public long readFrom() {
        return hasGap() ? scanOffset : nextOffset;
    }

    /** Returns the number of the newest snapshot seen on the log, 0 if none was seen. */
    public long lastSnapshotNumber() {
        return lastSnapshotNumber;
    }

    /** Returns the present configuration as a snapshot. */
    public ConfigSnapshot snapshot() {
        return ConfigSnapshot.of(state, nextOffset);
    }

    /** Returns an accepted ticket if it is still remembered. */
    public Optional<AcceptedTicket> ticket(long number) {
        return Optional.ofNullable(tickets.get(number));
    }

    /** Returns the latest remembered tickets, newest first. */
    public List<AcceptedTicket> latestTickets(int limit) {
        return tickets.descendingMap().values().stream().limit(limit).toList();
    }

    /** Returns the remembered tickets with a higher number in ascending order, empty if the next one is forgotten. */
    public List<AcceptedTicket> ticketsAfter(long number) {
        if (!tickets.containsKey(number + 1)) {
            return List.of();
        }
        return List.copyOf(tickets.tailMap(number, false).values());
    }

    /**
     * Takes records that were read from {@link #readFrom()} on. Records already covered are ignored.
     *
     * @param records in offset order without holes
     * @return tickets accepted by this call, in order
     */
    public List<AcceptedTicket> onRecords(List<LogRecord> records) {
        List<AcceptedTicket> accepted = new ArrayList<>();
        for (LogRecord logRecord : records) {
            if (hasGap()) {
                scan(logRecord);
            } else if (logRecord.offset() == nextOffset) {
                consume(logRecord).ifPresent(accepted::add);
            }
        }
        return accepted;
    }

    /**
     * The log dropped records.
     *
     * @param firstOffset offset of the oldest kept record
     */
    public void onExpired(long firstOffset) {
        if (firstOffset <= firstRetainedOffset) {
            return;
        }
        firstRetainedOffset = firstOffset;
        scanOffset = Math.max(scanOffset, firstOffset);
    }

    /**
     * Takes a ticket that a peer has accepted.
     *
     * @return whether it is now part of the configuration; false if it is old or not the next one
     */
    public boolean onPeerTicket(AcceptedTicket accepted) {
        boolean next = accepted.ticket().number() == state.number() + 1 && accepted.offset() >= nextOffset;
        return next && apply(accepted);
    }

    /**
     * Takes the configuration of a peer if it is newer, or its position if the numbers are equal.
     *
     * @return whether the number has gone up
     */
    public boolean onPeerSnapshot(ConfigSnapshot snapshot) {
        return adopt(snapshot);
    }

    private Optional<AcceptedTicket> consume(LogRecord logRecord) {
        noteSnapshot(logRecord.body());
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
        remember(accepted);
        return true;
    }

    private void remember(AcceptedTicket accepted) {
        tickets.put(accepted.ticket().number(), accepted);
        if (tickets.size() > rememberedTickets) {
            tickets.pollFirstEntry();
        }
    }

    /** Looks for a snapshot that leads past the gap: its position must be among the kept records. */
    private void scan(LogRecord logRecord) {
        if (logRecord.offset() != scanOffset) {
            return;
        }
        scanOffset++;
        Optional<ConfigSnapshot> snapshot = noteSnapshot(logRecord.body());
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

    private Optional<ConfigSnapshot> noteSnapshot(JsonNode body) {
        Optional<ConfigSnapshot> snapshot = parse(body, "snapshot", ConfigSnapshot.class);
        snapshot.ifPresent(s -> lastSnapshotNumber = Math.max(lastSnapshotNumber, s.number()));
        return snapshot;
    }

    /** Records that cannot be parsed are ignored by every host alike. */
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
