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
 * Decides whom to probe. Every second one member, in an order that visits all members before any is visited again, so
 * that a dead member is found within one round. Not thread safe.
 */
public final class ProbeSchedule {
    /** The design's interval between probes. */
    public static final long PERIOD_MILLIS = 1_000;

    /** The design's wait before other members are asked to probe. */
    public static final long DIRECT_MILLIS = 300;

    private static final int HELPERS = 2;

    /** What to do. */
    public sealed interface Action permits Direct, Indirect, Failed {}

    /** Probe a member. */
    public record Direct(HostId target) implements Action {}

    /** Ask helpers to probe a member. */
    public record Indirect(HostId target, List<HostId> helpers) implements Action {}

    /** A member was not reached, neither directly nor through helpers. */
    public record Failed(HostId target) implements Action {}

    private final MonotonicClock clock;
    private final UniformRandomProvider random;
    private final List<HostId> round = new ArrayList<>();
    private HostId target;
    private boolean isRetry;
    private boolean reached;
    private boolean helpersAsked;
    private long startedMillis;

    /**
     * @param clock times the probes
     * @param random orders members and chooses helpers
     */
    public ProbeSchedule(MonotonicClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        this.startedMillis = clock.millis() - PERIOD_MILLIS;
    }

    /**
     * Returns what to do now. To be called several times a second.
     *
     * @param members all members that may be probed, without this host; asked for only when a probe starts
     * @param live members that can help; asked for only when helpers are needed
     */
    public List<Action> tick(Supplier<Set<HostId>> members, Supplier<List<HostId>> live) {
        List<Action> actions = new ArrayList<>();
        long elapsedMillis = clock.millis() - startedMillis;
        boolean open = target != null && !reached;
        if (elapsedMillis >= PERIOD_MILLIS) {
            HostId failed = open ? target : null;
            if (failed != null) {
                actions.add(new Failed(failed));
            }
            startNext(members.get(), failed, actions);
        } else if (open && !helpersAsked && elapsedMillis >= DIRECT_MILLIS) {
            helpersAsked = true;
            askHelpers(live.get(), actions);
        }
        return actions;
    }

    /** A member answered a probe, directly or to a helper. */
    public void onReached(HostId host) {
        if (host.equals(target)) {
            reached = true;
        }
    }

    /** This process was paused: the open probe says nothing about its target. */
    public void onPause() {
        target = null;
        startedMillis = clock.millis() - PERIOD_MILLIS;
    }

    /** A member that was not reached is probed once more at once, which also tells it that it is suspected. */
    private void startNext(Set<HostId> members, HostId failed, List<Action> actions) {
        boolean again = failed != null && !isRetry && members.contains(failed);
        target = again ? failed : nextOfRound(members);
        isRetry = again;
        startedMillis = clock.millis();
        reached = false;
        helpersAsked = false;
        if (target != null) {
            actions.add(new Direct(target));
        }
    }

    private HostId nextOfRound(Set<HostId> members) {
        round.retainAll(members);
        if (round.isEmpty()) {
            round.addAll(new TreeSet<>(members));
            shuffle(round);
        }
        return round.isEmpty() ? null : round.remove(round.size() - 1);
    }

    private void askHelpers(List<HostId> live, List<Action> actions) {
        List<HostId> candidates = new ArrayList<>(live);
        candidates.remove(target);
        shuffle(candidates);
        List<HostId> helpers = List.copyOf(candidates.subList(0, Math.min(HELPERS, candidates.size())));
        if (!helpers.isEmpty()) {
            actions.add(new Indirect(target, helpers));
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
