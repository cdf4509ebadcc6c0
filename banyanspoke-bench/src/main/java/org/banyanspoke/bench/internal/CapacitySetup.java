package org.banyanspoke.bench.internal;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.bench.Load;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.capacity.CapacitySize;

/** Configuration and load of a capacity measurement. */
final class CapacitySetup {
    private static final long PROMISE_MILLIS = 10_000;
    private static final int TASKS_PER_JOB = 10;

    private final CapacitySize size;
    private final Topology topology;

    CapacitySetup(CapacitySize size, Topology topology) {
        this.size = size;
        this.topology = topology;
    }

    /** Returns equal work of all teams that have a batch, with instant tasks. */
    Scenario scenario() {
        int working = Math.min(size.teams(), size.batches());
        List<Load> loads = new ArrayList<>();
        for (int team = 0; team < working; team++) {
            loads.add(Load.steady(name(team), urgency(team), 1.0 / working, PROMISE_MILLIS)
                    .withTasks(TASKS_PER_JOB));
        }
        return new Scenario("capacity", 0, topology.hosts(), 1, 1, 0, false, true, false, loads, List.of());
    }

    /** Returns the first ticket, which holds the whole configuration. */
    Ticket ticket() {
        return new Ticket(1, "capacity-1", "capacity", state(), null);
    }

    /** Returns a later ticket, which replaces one team by itself. */
    Ticket change(int number) {
        Ticket.Put put = new Ticket.Put(List.of(team(number % size.teams())), null, null, null, null);
        return new Ticket(number, "capacity-" + number, "capacity", put, null);
    }

    /** Returns the snapshot record of the state after a ticket, as an entry host writes it to the log. */
    Map<String, Object> snapshotRecord(int number) {
        return Map.of("snapshot", Map.of("number", number, "nextOffset", number, "state", state()));
    }

    private Ticket.Put state() {
        List<TeamConfig> teams = new ArrayList<>();
        for (int team = 0; team < size.teams(); team++) {
            teams.add(team(team));
        }
        List<BatchConfig> batches = new ArrayList<>();
        for (int batch = 0; batch < size.batches(); batch++) {
            batches.add(batch(batch));
        }
        return new Ticket.Put(teams, batches, topology.serverConfigs(), topology.hostConfigs(), null);
    }

    private static TeamConfig team(int team) {
        return Setup.teamWithoutQuota(name(team));
    }

    /** The first batch of each team has the team's name, which the load generator uses. */
    private BatchConfig batch(int batch) {
        int team = batch % size.teams();
        return new BatchConfig(
                new BatchId(batch < size.teams() ? name(batch) : "batch" + batch),
                new TeamId(name(team)),
                urgency(batch),
                Instant.now().plus(1, ChronoUnit.DAYS),
                PROMISE_MILLIS,
                Set.of(),
                Set.of(Topology.SERVED));
    }

    private static String name(int team) {
        return "team" + team;
    }

    private static UrgencyClass urgency(int index) {
        UrgencyClass[] classes = UrgencyClass.values();
        return classes[index % classes.length];
    }
}
