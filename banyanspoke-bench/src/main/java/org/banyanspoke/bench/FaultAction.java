package org.banyanspoke.bench;

import java.util.Map;

/**
 * A fault at a point of a run.
 *
 * @param at when, as a fraction of the measured time
 * @param kind what happens
 * @param target to which servers or hosts; only for some kinds
 * @param patch options of the stand-in that change
 */
public record FaultAction(double at, Kind kind, Target target, Map<String, Object> patch) {
    /** What happens. */
    public enum Kind {
        /** Changes options of backend servers. */
        SERVERS,
        /** Makes the open connections of backend servers silent. */
        SILENCE,
        /** Changes options of the log. */
        LOG,
        /** Changes options of the host list. */
        HOST_LIST,
        /** Kills entry hosts. */
        KILL_HOSTS,
        /** Stops and starts every entry host in turn. */
        ROLLING_RESTART,
        /** Cancels half of the jobs in progress. */
        CANCEL
    }

    /** Which servers or hosts. */
    public enum Target {
        /** All. */
        ALL,
        /** The first. */
        FIRST,
        /** Those in the first rack of the first zone. */
        RACK,
        /** Those in the first zone. */
        ZONE
    }

    /** Copies the patch. */
    public FaultAction {
        patch = Map.copyOf(patch);
    }

    /** Returns an action without options. */
    public static FaultAction of(double at, Kind kind, Target target) {
        return new FaultAction(at, kind, target, Map.of());
    }
}
