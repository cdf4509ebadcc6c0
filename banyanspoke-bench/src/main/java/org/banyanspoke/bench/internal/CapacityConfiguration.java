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

/** Configuration tickets and workload of a capacity measurement. */
final class CapacityConfiguration {
    private static final long PROMISE_MILLIS = 10_000;
    private static final int TASKS_PER_JOB = 10;

    private final CapacitySize size;
    private final Topology topology;

    CapacityConfiguration(CapacitySize size, Topology topology) {
        this.size = size;
        this.topology = topology;
    }

    /** Returns a scenario with equal load from all client accounts that have a batch, with instant tasks. */
    Scenario scenario() {
        int activeTeams = Math.min(size.teams(), size.batches());
        List<Load> loads = new ArrayList<>();
        for (int team = 0; team < activeTeams; team++) {
            loads.add(Load.steady(name(team), urgency(team), 1.0 / activeTeams, PROMISE_MILLIS)
                    .withTasks(TASKS_PER_JOB));
        }
        return new Scenario("capacity", 0, topology.hosts(), 1, 1, 0, false, true, false, loads, List.of());
    }

    /** Returns the first ticket, which contains the complete configuration. */
    Ticket initialTicket() {
        return new Ticket(1, "capacity-1", "capacity", configurationState(), null);
    }

    /** Returns a ticket that replaces one client account with an identical one. */
    Ticket teamChangeTicket(int number) {
        Ticket.Put put = new Ticket.Put(List.of(team(number % size.teams())), null, null, null, null);
        return new Ticket(number, "capacity-" + number, "capacity", put, null);
    }

    /** Returns a snapshot record of the configuration after a ticket, as an entry host writes it to the log. */
    Map<String, Object> snapshotRecord(int number) {
        return Map.of("snapshot", Map.of("number", number, "nextOffset", number, "state", configurationState()));
    }

    private Ticket.Put configurationState() {
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
        return ClusterConfiguration.teamWithoutQuota(name(team));
    }

    /** Returns a batch. The first batch of each client account has its name, as the load generator expects. */
    private BatchConfig batch(int batch) {
        int team = batch % size.teams();
        return new BatchConfig(
                new BatchId(batch < size.teams() ? name(batch) : "batch" + batch),
                new TeamId(name(team)),
                urgency(batch),
                Instant.now().plus(1, ChronoUnit.DAYS),
                PROMISE_MILLIS,
                Set.of(),
                Set.of(Topology.LISTENING_LABEL));
    }

    private static String name(int team) {
        return "team" + team;
    }

    private static UrgencyClass urgency(int index) {
        UrgencyClass[] classes = UrgencyClass.values();
        return classes[index % classes.length];
    }
}
