package org.banyanspoke.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.routing.LoadExperiment.Site;
import org.banyanspoke.core.routing.internal.RandomServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.schedule.TaskQueues;
import org.banyanspoke.core.schedule.internal.FirstComeFirstServedQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Floods and faults in the load experiment, the same for every policy. */
final class FloodScenario {
    /** Queue and pool of a host. */
    record Policy(String name, ClassShares shares, Function<MonotonicClock, TaskQueue> queue, PoolFactory pool) {}

    /** Creates the pool of a host. */
    interface PoolFactory {
        ServerPool create(HostId self, MonotonicClock clock, UniformRandomProvider random);
    }

    /** Jobs of one team in one class; {@code load} is the part of the capacity that they need. */
    record Flow(UrgencyClass urgency, String team, double load, int maxTasks, long promiseMillis) {
        BatchConfig batch() {
            String name = team + "." + urgency;
            return new BatchConfig(
                    new BatchId(name), new TeamId(team), urgency, Instant.MAX, promiseMillis, Set.of(), Set.of());
        }
    }

    static final Policy BASELINE = new Policy(
            "baseline",
            ClassShares.DEFAULT,
            clock -> new FirstComeFirstServedQueue(),
            (self, clock, random) -> new RandomServerPool(random));
    static final Policy STRICT = new Policy(
            "strict priority", ClassShares.DEFAULT, clock -> new StrictPriorityQueue(), ServerPools::adaptive);
    static final Policy ADAPTIVE =
            new Policy("adaptive", ClassShares.DEFAULT, TaskQueues::fairShare, ServerPools::adaptive);

    private static final long SECOND = LoadExperiment.SECOND;
    private static final int HOSTS = 8;
    private static final int SERVERS = 16;
    private static final double[] TEAM_PARTS = {0.55, 0.25, 0.15, 0.05};

    private FloodScenario() {}

    /** Returns four teams of unequal size in each class; the arguments are parts of the capacity. */
    static List<Flow> usualWork(double urgent, double normal, double background) {
        List<Flow> flows = new ArrayList<>();
        double[] loads = {urgent, normal, background};
        for (UrgencyClass urgency : UrgencyClass.values()) {
            for (int team = 0; team < TEAM_PARTS.length; team++) {
                double load = loads[urgency.ordinal()] * TEAM_PARTS[team];
                long promiseMillis = new long[] {5_000, 8_000, 15_000}[urgency.ordinal()];
                flows.add(new Flow(urgency, "team" + team, load, 20, promiseMillis));
            }
        }
        return flows;
    }

    /** Jobs of the flows that do not flood. */
    record Result(int offered, int inTime) {}

    /** Who floods: one team, or with -1 every team of a class; {@code extra} is added to the usual load of the class. */
    record Flood(UrgencyClass urgency, int floodingTeam, double extra) {
        boolean includes(Flow flow) {
            return flow.urgency() == urgency && (floodingTeam < 0 || flow.team().equals("team" + floodingTeam));
        }
    }

    /** Runs 100 s with a flood from 60 s to 80 s and counts the jobs of other flows that arrive after 60 s. */
    static Result run(Policy policy, List<Flow> flows, Flood flood, long seed) {
        LoadExperiment experiment = new LoadExperiment(policy, Site.equalHosts(HOSTS, SERVERS), 60 * SECOND, seed);
        double floodedLoad = 0;
        for (Flow flow : flows) {
            floodedLoad += flow.urgency() == flood.urgency() ? flow.load() : 0;
        }
        for (int i = 0; i < flows.size(); i++) {
            Flow flow = flows.get(i);
            experiment.offer(flow, 0, 100 * SECOND, seed * 100 + i);
            if (flood.extra() > 0 && flood.includes(flow)) {
                double load = flood.extra() * (flood.floodingTeam() < 0 ? flow.load() : floodedLoad);
                Flow more = new Flow(flow.urgency(), flow.team(), load, flow.maxTasks(), flow.promiseMillis());
                experiment.offer(more, 60 * SECOND, 80 * SECOND, seed * 100 + 50 + i);
            }
        }
        experiment.run(120 * SECOND);
        return result(experiment, flows, flood);
    }

    private static Result result(LoadExperiment experiment, List<Flow> flows, Flood flood) {
        int offered = 0;
        int inTime = 0;
        for (Flow flow : flows) {
            if (!flood.includes(flow)) {
                LoadExperiment.Totals totals = experiment.totals(flow);
                offered += totals.offered;
                inTime += totals.inTime;
            }
        }
        return new Result(offered, inTime);
    }

    /** Returns the part of other work's completions that a flood leaves, over several seeds. */
    static double retained(Policy policy, List<Flow> flows, Flood flood, int seeds) {
        int without = 0;
        int with = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            without += run(policy, flows, new Flood(flood.urgency(), flood.floodingTeam(), 0), seed)
                    .inTime();
            with += run(policy, flows, flood, seed).inTime();
        }
        return (double) with / without;
    }
}
