package org.banyanspoke.bench;

import java.util.Map;

/**
 * A fault injected at a given time of a run.
 *
 * @param at injection time as a fraction of the measurement time
 * @param kind fault to inject
 * @param target affected servers or hosts; ignored by kinds that affect neither
 * @param patch changed options of the simulator
 */
public record FaultAction(double at, Kind kind, Target target, Map<String, Object> patch) {
    /** Kind of fault. */
    public enum Kind {
        /** Changes options of backend servers. */
        SERVERS,
        /** Makes backend servers stop responding on their open connections. */
        SILENCE,
        /** Changes options of the log simulator. */
        LOG,
        /** Changes options of the host list simulator. */
        HOST_LIST,
        /** Kills entry hosts. */
        KILL_HOSTS,
        /** Restarts every entry host, one at a time. */
        ROLLING_RESTART,
        /** Cancels every second job in progress. */
        CANCEL
    }

    /** Affected servers or hosts. */
    public enum Target {
        /** All servers or hosts. */
        ALL,
        /** The first server or host. */
        FIRST,
        /** Servers in the first rack of the first zone; no hosts. */
        RACK,
        /** Servers or hosts in the first zone. */
        ZONE
    }

    /** Makes a defensive copy of the patch. */
    public FaultAction {
        patch = Map.copyOf(patch);
    }

    /** Returns an action that changes no simulator options. */
    public static FaultAction of(double at, Kind kind, Target target) {
        return new FaultAction(at, kind, target, Map.of());
    }
}
