package org.banyanspoke.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.banyanspoke.api.config.Ticket;

/**
 * Several hosts read one log in random interleavings, with pushed tickets, snapshots of peers, snapshot records and
 * expired records.
 */
class ConfigTrackerPropertyTest {
    private static final int HOSTS = 4;
    private static final int STEPS = 300;

    private final List<LogRecord> log = new ArrayList<>();
    private final List<ConfigTracker> hosts = new ArrayList<>();
    /** Tracker that reads every record. */
    private ConfigTracker reference;

    private final List<ConfigState> history = new ArrayList<>();
    private int firstRetained;

    /** Guards against hosts that disagree about an accepted ticket, skip one or revert to an older configuration. */
    @Property(tries = 300, seed = "20261204")
    void everyHostFollowsTheSameHistory(@ForAll long seed) {
        Random random = new Random(seed);
        start();
        for (int step = 0; step < STEPS; step++) {
            int host = random.nextInt(HOSTS);
            long before = hosts.get(host).state().number();
            step(random, hosts.get(host), hosts.get(random.nextInt(HOSTS)));
            ConfigState after = hosts.get(host).state();
            assertThat(after.number()).isGreaterThanOrEqualTo(before);
            assertThat(after).isEqualTo(history.get((int) after.number()));
        }
        for (ConfigTracker host : hosts) {
            host.onPeerSnapshot(reference.snapshot());
            assertThat(host.state()).isEqualTo(reference.state());
        }
    }

    private void start() {
        reference = new ConfigTracker(10_000);
        history.clear();
        history.add(ConfigState.EMPTY);
        log.clear();
        firstRetained = 0;
        hosts.clear();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new ConfigTracker(5));
        }
    }

    private void step(Random random, ConfigTracker host, ConfigTracker other) {
        switch (random.nextInt(8)) {
            case 0, 1 -> append(Tickets.body(anyTicket(random, host)));
            case 2 -> append(Tickets.body(host.snapshot()));
            case 3 -> other.latestTickets(1).forEach(host::onPeerTicket);
            case 4 -> other.ticketsAfter(host.state().number()).forEach(host::onPeerTicket);
            case 5 -> host.onPeerSnapshot(other.snapshot());
            case 6 -> expire(random);
            default -> read(random, host);
        }
    }

    /**
     * Returns a ticket with a number near the host's next one, which may lag; sometimes a copy of an earlier record.
     */
    private Ticket anyTicket(Random random, ConfigTracker host) {
        long number = Math.max(0, host.state().number() + random.nextInt(4) - 1);
        return Tickets.shares(number, "t" + random.nextInt(1_000));
    }

    private void append(JsonNode body) {
        LogRecord appended = new LogRecord(log.size(), body);
        log.add(appended);
        reference.onRecords(List.of(appended)).forEach(accepted -> history.add(reference.state()));
    }

    private void expire(Random random) {
        if (random.nextInt(10) == 0) {
            firstRetained += random.nextInt(Math.max(1, log.size() - firstRetained));
        }
    }

    private void read(Random random, ConfigTracker host) {
        if (host.nextReadOffset() < firstRetained) {
            host.onExpired(firstRetained);
        }
        int from = (int) host.nextReadOffset();
        int to = Math.min(log.size(), from + random.nextInt(10));
        if (from < to) {
            host.onRecords(log.subList(from, to));
        }
    }
}
