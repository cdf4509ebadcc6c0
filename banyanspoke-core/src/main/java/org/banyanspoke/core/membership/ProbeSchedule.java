package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Schedules the probes of members: one member every second, in an order that visits all members before any is visited
 * again, so that a dead member is probed in the current round or the next one. Not thread safe.
 */
public final class ProbeSchedule {
    /** Interval between the starts of probes. */
    public static final long PERIOD_MILLIS = 1_000;

    /** Time without an answer to a direct probe after which proxies are asked to probe the member. */
    public static final long DIRECT_TIMEOUT_MILLIS = 300;

    private static final int PROXY_COUNT = 2;

    /** Action that the caller has to take. */
    public sealed interface Action permits Direct, Indirect, Failed {}

    /** Probe a member directly. */
    public record Direct(HostId target) implements Action {}

    /** Ask other members, the proxies, to probe a member. */
    public record Indirect(HostId target, List<HostId> proxies) implements Action {}

    /** A member answered neither the direct probe nor one through a proxy. */
    public record Failed(HostId target) implements Action {}

    private final MonotonicClock clock;
    private final UniformRandomProvider random;
    private final List<HostId> round = new ArrayList<>();
    private HostId target;
    private boolean isRetry;
    private boolean acked;
    private boolean indirectProbeSent;
    private long startedMillis;

    /**
     * @param clock measures the time-outs of probes
     * @param random shuffles members and selects proxies
     */
    public ProbeSchedule(MonotonicClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        this.startedMillis = clock.millis() - PERIOD_MILLIS;
    }

    /**
     * Returns the actions that are due. Must be called several times a second.
     *
     * @param members all members that may be probed, without this host; evaluated only when a probe starts
     * @param live members that may serve as proxies; evaluated only when proxies are needed
     */
    public List<Action> tick(Supplier<Set<HostId>> members, Supplier<List<HostId>> live) {
        List<Action> actions = new ArrayList<>();
        long elapsedMillis = clock.millis() - startedMillis;
        boolean open = target != null && !acked;
        if (elapsedMillis >= PERIOD_MILLIS) {
            HostId failed = open ? target : null;
            if (failed != null) {
                actions.add(new Failed(failed));
            }
            startNext(members.get(), failed, actions);
        } else if (open && !indirectProbeSent && elapsedMillis >= DIRECT_TIMEOUT_MILLIS) {
            indirectProbeSent = true;
            requestIndirectProbe(live.get(), actions);
        }
        return actions;
    }

    /** Handles the answer of a member to a probe, sent directly or by a proxy. */
    public void onProbeAck(HostId host) {
        if (host.equals(target)) {
            acked = true;
        }
    }

    /** Abandons the open probe after a pause of this process, because its outcome says nothing about the target. */
    public void onPause() {
        target = null;
        startedMillis = clock.millis() - PERIOD_MILLIS;
    }

    /**
     * Starts the next probe. A member that did not answer is probed once more immediately, which also tells it that it
     * is suspected.
     */
    private void startNext(Set<HostId> members, HostId failed, List<Action> actions) {
        boolean again = failed != null && !isRetry && members.contains(failed);
        target = again ? failed : nextInRound(members);
        isRetry = again;
        startedMillis = clock.millis();
        acked = false;
        indirectProbeSent = false;
        if (target != null) {
            actions.add(new Direct(target));
        }
    }

    private HostId nextInRound(Set<HostId> members) {
        round.retainAll(members);
        if (round.isEmpty()) {
            round.addAll(new TreeSet<>(members));
            shuffle(round);
        }
        return round.isEmpty() ? null : round.remove(round.size() - 1);
    }

    private void requestIndirectProbe(List<HostId> live, List<Action> actions) {
        List<HostId> candidates = new ArrayList<>(live);
        candidates.remove(target);
        shuffle(candidates);
        List<HostId> proxies = List.copyOf(candidates.subList(0, Math.min(PROXY_COUNT, candidates.size())));
        if (!proxies.isEmpty()) {
            actions.add(new Indirect(target, proxies));
        }
    }

    private void shuffle(List<HostId> hosts) {
        for (int i = hosts.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            HostId moved = hosts.set(i, hosts.get(other));
            hosts.set(other, moved);
        }
    }
}
