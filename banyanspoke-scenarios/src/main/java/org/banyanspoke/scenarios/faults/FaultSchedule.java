package org.banyanspoke.scenarios.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.scenarios.faults.FaultKind.Target;

/** Draws which faults happen and when. A function of its arguments only. */
public final class FaultSchedule {
    private static final long FIRST_MILLIS = 1_000;
    private static final long MIN_GAP_MILLIS = 1_500;
    private static final long MAX_GAP_MILLIS = 4_000;
    /** Longer than the 2 s after which a host treats itself as partitioned, shorter than the 5 s until it is declared dead. */
    private static final long MAX_DURATION_MILLIS = 4_500;

    private static final long MIN_DURATION_MILLIS = 500;
    private static final double PAIR_SHARE = 0.5;
    /** Time in which the replacement of a host gets ready; no other fault concerns the process then. */
    private static final long REPLACEMENT_MILLIS = 8_000;

    private final UniformRandomProvider random;
    private final int hosts;
    private final int zones;
    private final int servers;
    private final Deque<FaultKind> deck = new ArrayDeque<>();
    private final List<PlannedFault> faults = new ArrayList<>();

    private FaultSchedule(long seed, int hosts, int zones, int servers) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.hosts = hosts;
        this.zones = zones;
        this.servers = servers;
    }

    /**
     * Draws the faults that begin and end within a time, in order of their begin. Every kind comes up once before any comes up again,
     * as far as a free target exists.
     *
     * @param servers number of backend servers; at most half of them leave for good
     */
    public static List<PlannedFault> draw(long seed, long runMillis, int hosts, int zones, int servers) {
        FaultSchedule schedule = new FaultSchedule(seed, hosts, zones, servers);
        schedule.fill(runMillis);
        return List.copyOf(schedule.faults);
    }

    private void fill(long runMillis) {
        long atMillis = FIRST_MILLIS;
        while (atMillis + MAX_DURATION_MILLIS < runMillis) {
            long durationMillis = random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
            add(atMillis, durationMillis);
            if (random.nextDouble() < PAIR_SHARE) {
                add(
                        atMillis + random.nextLong(durationMillis),
                        random.nextLong(MIN_DURATION_MILLIS, durationMillis + 1));
            }
            atMillis += random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
        }
        faults.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    }

    private void add(long atMillis, long durationMillis) {
        if (deck.isEmpty()) {
            List<FaultKind> kinds = new ArrayList<>(Arrays.asList(FaultKind.values()));
            ListSampler.shuffle(random, kinds);
            deck.addAll(kinds);
        }
        FaultKind kind = deck.poll();
        List<PlannedFault> possible = IntStream.range(0, targets(kind))
                .mapToObj(index -> new PlannedFault(atMillis, durationMillis, kind, index))
                .filter(this::isFree)
                .toList();
        if (!possible.isEmpty()) {
            faults.add(possible.get(random.nextInt(possible.size())));
        }
    }

    private int targets(FaultKind kind) {
        return switch (kind) {
            case CUT_ZONE -> zones;
            case CUT_HOST, CUT_HOST_FROM_LOG, KILL_HOST, FREEZE_HOST, STOP_HOST -> hosts;
            case SERVER_DIES, SERVER_FREEZES, SERVER_FAILS, SERVER_LEAVES_BY_TICKET -> servers;
            case SERVER_LEAVES_BY_LIST, SERVER_LEAVES_BY_ANSWER -> servers / 2;
            default -> 1;
        };
    }

    private boolean isFree(PlannedFault fault) {
        return faults.stream().noneMatch(other -> conflict(fault, other));
    }

    private static boolean conflict(PlannedFault fault, PlannedFault other) {
        Target target = fault.kind().target();
        if (target != other.kind().target() || target == Target.LOAD) {
            return false;
        }
        return switch (target) {
            case SERVER -> fault.index() == other.index() && (other.kind().lasting() || fault.overlaps(other));
            case HOST -> fault.index() == other.index() && occupied(fault).overlaps(occupied(other));
            default -> fault.overlaps(other);
        };
    }

    private static PlannedFault occupied(PlannedFault fault) {
        return new PlannedFault(
                fault.atMillis(), fault.durationMillis() + REPLACEMENT_MILLIS, fault.kind(), fault.index());
    }
}
