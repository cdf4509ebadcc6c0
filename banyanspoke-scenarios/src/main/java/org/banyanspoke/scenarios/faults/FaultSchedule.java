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

/** Generates the faults of a run and their times. Deterministic for the same arguments. */
public final class FaultSchedule {
    private static final long FIRST_FAULT_MILLIS = 1_000;
    private static final long MIN_GAP_MILLIS = 1_500;
    private static final long MAX_GAP_MILLIS = 4_000;
    /** Between the 2 s until a host considers itself partitioned and the 5 s until peers declare it dead. */
    private static final long MAX_DURATION_MILLIS = 4_500;

    private static final long MIN_DURATION_MILLIS = 500;
    private static final double OVERLAP_PROBABILITY = 0.5;
    /** Time for the replacement of a host to become ready; the process gets no other fault meanwhile. */
    private static final long REPLACEMENT_START_MILLIS = 8_000;

    private final UniformRandomProvider random;
    private final int hosts;
    private final int zones;
    private final int servers;
    private final Deque<FaultKind> remainingKinds = new ArrayDeque<>();
    private final List<PlannedFault> faults = new ArrayList<>();

    private FaultSchedule(long seed, int hosts, int zones, int servers) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.hosts = hosts;
        this.zones = zones;
        this.servers = servers;
    }

    /**
     * Generates the faults that start and end within the run, in order of their start. Every kind is drawn once before
     * any is drawn again; a drawn kind without a free target is skipped.
     *
     * @param servers number of backend servers; at most half of them leave permanently
     */
    public static List<PlannedFault> generate(long seed, long runMillis, int hosts, int zones, int servers) {
        FaultSchedule schedule = new FaultSchedule(seed, hosts, zones, servers);
        schedule.addFaults(runMillis);
        return List.copyOf(schedule.faults);
    }

    private void addFaults(long runMillis) {
        long atMillis = FIRST_FAULT_MILLIS;
        while (atMillis + MAX_DURATION_MILLIS < runMillis) {
            long durationMillis = random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
            addFault(atMillis, durationMillis);
            if (random.nextDouble() < OVERLAP_PROBABILITY) {
                addFault(
                        atMillis + random.nextLong(durationMillis),
                        random.nextLong(MIN_DURATION_MILLIS, durationMillis + 1));
            }
            atMillis += random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
        }
        faults.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    }

    private void addFault(long atMillis, long durationMillis) {
        if (remainingKinds.isEmpty()) {
            List<FaultKind> kinds = new ArrayList<>(Arrays.asList(FaultKind.values()));
            ListSampler.shuffle(random, kinds);
            remainingKinds.addAll(kinds);
        }
        FaultKind kind = remainingKinds.poll();
        List<PlannedFault> candidates = IntStream.range(0, targetCount(kind))
                .mapToObj(index -> new PlannedFault(atMillis, durationMillis, kind, index))
                .filter(this::isFree)
                .toList();
        if (!candidates.isEmpty()) {
            faults.add(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private int targetCount(FaultKind kind) {
        return switch (kind) {
            case CUT_ZONE -> zones;
            case CUT_HOST, CUT_HOST_FROM_LOG, KILL_HOST, FREEZE_HOST, STOP_HOST -> hosts;
            case SERVER_DIES, SERVER_FREEZES, SERVER_FAILS, SERVER_LEAVES_BY_TICKET -> servers;
            case SERVER_LEAVES_BY_LIST, SERVER_LEAVES_BY_ANSWER -> servers / 2;
            default -> 1;
        };
    }

    private boolean isFree(PlannedFault fault) {
        return faults.stream().noneMatch(other -> conflicts(fault, other));
    }

    private static boolean conflicts(PlannedFault fault, PlannedFault other) {
        Target target = fault.kind().target();
        if (target != other.kind().target() || target == Target.LOAD) {
            return false;
        }
        return switch (target) {
            case SERVER -> fault.index() == other.index() && (other.kind().isPermanent() || fault.overlaps(other));
            case HOST ->
                fault.index() == other.index() && withReplacementTime(fault).overlaps(withReplacementTime(other));
            default -> fault.overlaps(other);
        };
    }

    private static PlannedFault withReplacementTime(PlannedFault fault) {
        return new PlannedFault(
                fault.atMillis(), fault.durationMillis() + REPLACEMENT_START_MILLIS, fault.kind(), fault.index());
    }
}
