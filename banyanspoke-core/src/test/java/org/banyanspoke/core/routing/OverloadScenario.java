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
import org.banyanspoke.core.routing.LoadExperiment.Topology;
import org.banyanspoke.core.routing.internal.RandomServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.schedule.TaskQueues;
import org.banyanspoke.core.schedule.internal.FirstComeFirstServedQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Overload runs of {@link LoadExperiment} that compare policies under the same load. */
final class OverloadScenario {
    /** Task queue and server pool used by each host. */
    record Policy(String name, ClassShares shares, Function<MonotonicClock, TaskQueue> queue, PoolFactory pool) {}

    /** Creates the server pool of a host. */
    interface PoolFactory {
        ServerPool create(HostId self, MonotonicClock clock, UniformRandomProvider random);
    }

    /** Job arrivals of one team in one class; {@code load} is the required fraction of the capacity. */
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
    private static final double[] TEAM_LOAD_FRACTIONS = {0.55, 0.25, 0.15, 0.05};

    private OverloadScenario() {}

    /** Returns flows of four teams of different size per class; the arguments are fractions of the capacity. */
    static List<Flow> typicalFlows(double urgent, double normal, double background) {
        List<Flow> flows = new ArrayList<>();
        double[] loads = {urgent, normal, background};
        for (UrgencyClass urgency : UrgencyClass.values()) {
            for (int team = 0; team < TEAM_LOAD_FRACTIONS.length; team++) {
                double load = loads[urgency.ordinal()] * TEAM_LOAD_FRACTIONS[team];
                long promiseMillis = new long[] {5_000, 8_000, 15_000}[urgency.ordinal()];
                flows.add(new Flow(urgency, "team" + team, load, 20, promiseMillis));
            }
        }
        return flows;
    }

    /** Job counts of the flows that do not overload. */
    record Result(int offered, int completedInTime) {}

    /**
     * Overload by one team of a class, or by all its teams if {@code overloadingTeam} is -1. {@code extraLoad} is a
     * multiple of the typical load of the class, added to it.
     */
    record Overload(UrgencyClass urgency, int overloadingTeam, double extraLoad) {
        boolean includes(Flow flow) {
            return flow.urgency() == urgency
                    && (overloadingTeam < 0 || flow.team().equals("team" + overloadingTeam));
        }
    }

    /** Simulates 100 s with overload from 60 s to 80 s, and counts the jobs of other flows that arrive after 60 s. */
    static Result run(Policy policy, List<Flow> flows, Overload overload, long seed) {
        LoadExperiment experiment = new LoadExperiment(policy, Topology.equalHosts(HOSTS, SERVERS), 60 * SECOND, seed);
        double classLoad = 0;
        for (Flow flow : flows) {
            classLoad += flow.urgency() == overload.urgency() ? flow.load() : 0;
        }
        for (int i = 0; i < flows.size(); i++) {
            Flow flow = flows.get(i);
            experiment.scheduleArrivals(flow, 0, 100 * SECOND, seed * 100 + i);
            if (overload.extraLoad() > 0 && overload.includes(flow)) {
                double load = overload.extraLoad() * (overload.overloadingTeam() < 0 ? flow.load() : classLoad);
                Flow extraFlow = new Flow(flow.urgency(), flow.team(), load, flow.maxTasks(), flow.promiseMillis());
                experiment.scheduleArrivals(extraFlow, 60 * SECOND, 80 * SECOND, seed * 100 + 50 + i);
            }
        }
        experiment.run(120 * SECOND);
        return result(experiment, flows, overload);
    }

    private static Result result(LoadExperiment experiment, List<Flow> flows, Overload overload) {
        int offered = 0;
        int completedInTime = 0;
        for (Flow flow : flows) {
            if (!overload.includes(flow)) {
                LoadExperiment.Totals totals = experiment.totals(flow);
                offered += totals.offered;
                completedInTime += totals.completedInTime;
            }
        }
        return new Result(offered, completedInTime);
    }

    /** Returns the completed jobs of other flows with overload as a fraction of those without, over several seeds. */
    static double retained(Policy policy, List<Flow> flows, Overload overload, int seeds) {
        int without = 0;
        int with = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            without += run(policy, flows, new Overload(overload.urgency(), overload.overloadingTeam(), 0), seed)
                    .completedInTime();
            with += run(policy, flows, overload, seed).completedInTime();
        }
        return (double) with / without;
    }
}
