package org.banyanspoke.bench.capacity;

import java.util.List;

/** Varied dimension of a capacity measurement, with its default points and its value at the design size. */
public enum Dimension {
    /** Configured backend servers. */
    SERVERS(760, List.of(95, 190, 380, 760)),
    /** Client accounts, all of which submit jobs. */
    TEAMS(140, List.of(14, 35, 70, 140)),
    /** Configured batches. */
    BATCHES(500, List.of(140, 250, 375, 500)),
    /** Task starts per second on each entry host. */
    RATE(256, List.of(32, 64, 128, 256)),
    /** Entry hosts in all zones. */
    HOSTS(180, List.of(2, 4, 8, 16)),
    /** Entry hosts of one zone that start simultaneously. */
    RECOVERY(30, List.of(2, 4, 8, 16));

    /** 16 hosts at 256 starts/s need 4,096 tasks/s, about as many as a load generator on the same machine sends. */
    private static final int STARTS_PER_SECOND_WITH_MANY_HOSTS = 64;

    private final int designValue;
    private final List<Integer> defaultPoints;

    Dimension(int designValue, List<Integer> defaultPoints) {
        this.designValue = designValue;
        this.defaultPoints = defaultPoints;
    }

    /** Returns the value at the design size. */
    public int designValue() {
        return designValue;
    }

    /** Returns the points that are measured by default. */
    public List<Integer> defaultPoints() {
        return defaultPoints;
    }

    /** Returns the design size with the given value of this dimension. */
    public CapacitySize at(int value) {
        CapacitySize design = CapacitySize.DESIGN;
        return switch (this) {
            case SERVERS ->
                new CapacitySize(value, design.teams(), design.batches(), design.startsPerSecond(), design.hosts());
            case TEAMS ->
                new CapacitySize(design.servers(), value, design.batches(), design.startsPerSecond(), design.hosts());
            case BATCHES ->
                new CapacitySize(design.servers(), design.teams(), value, design.startsPerSecond(), design.hosts());
            case RATE -> new CapacitySize(design.servers(), design.teams(), design.batches(), value, design.hosts());
            case HOSTS, RECOVERY ->
                new CapacitySize(
                        design.servers(), design.teams(), design.batches(), STARTS_PER_SECOND_WITH_MANY_HOSTS, value);
        };
    }
}
