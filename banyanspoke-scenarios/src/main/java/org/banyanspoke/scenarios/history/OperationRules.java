package org.banyanspoke.scenarios.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.scenarios.history.Event.ConfigSeen;
import org.banyanspoke.scenarios.history.Event.Leaving;
import org.banyanspoke.scenarios.history.Event.PlannedStop;
import org.banyanspoke.scenarios.history.Event.TicketAccepted;

/** Rules about backend servers, entry hosts and the configuration. */
public final class OperationRules {
    /** "Within a few seconds" for a leaving backend server. */
    static final long LEAVING_GRACE_MILLIS = 3_000;
    /** Time in which an accepted configuration is in force everywhere. */
    static final long CONFIG_LIMIT_MILLIS = 5_000;

    private OperationRules() {}

    /** A leaving backend server gets no new work after the grace time. */
    public static List<String> leavingServerGetsNothing(History history) {
        Map<String, Long> since = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (Event event : history.events()) {
            if (event instanceof Leaving leaving) {
                since.putIfAbsent(leaving.server(), leaving.atMillis());
            } else if (event instanceof Event.InService returned) {
                since.remove(returned.server());
            } else if (event instanceof Event.Started started && since.containsKey(started.server())) {
                long leavingMillis = started.atMillis() - since.get(started.server());
                if (leavingMillis > LEAVING_GRACE_MILLIS) {
                    violations.add("server " + started.server() + " started task " + started.task() + " of job "
                            + started.jobId() + " " + leavingMillis + " ms after it was leaving");
                }
            }
        }
        return violations;
    }

    /** A planned stop cuts off no request, from its begin until the process is killed or replaced. */
    public static List<String> plannedStopCutsNothing(History history) {
        Set<String> stopping = new HashSet<>();
        List<String> violations = new ArrayList<>();
        for (Event event : history.events()) {
            if (event instanceof PlannedStop stop) {
                stopping.add(stop.host());
            } else if (event instanceof Event.HostKilled killed) {
                stopping.remove(killed.host());
            } else if (event instanceof Event.HostStarted started) {
                stopping.remove(started.host());
            } else if (event instanceof Event.ConnectionLost lost && stopping.contains(lost.host())) {
                violations.add("request " + lost.request() + " was cut off by the planned stop of " + lost.host());
            }
        }
        return violations;
    }

    /** One number has one ticket, and no host goes back to a lower number. */
    public static List<String> configurationNeverReverts(History history) {
        List<String> violations = new ArrayList<>();
        Map<Long, String> tickets = new HashMap<>();
        history.all(TicketAccepted.class).forEach(t -> {
            String other = tickets.putIfAbsent(t.number(), t.ticketId());
            if (other != null && !other.equals(t.ticketId())) {
                violations.add("number " + t.number() + " was accepted for " + other + " and for " + t.ticketId());
            }
        });
        Map<String, Long> seen = new HashMap<>();
        history.all(ConfigSeen.class).forEach(c -> {
            Long before = seen.put(c.host(), c.number());
            if (before != null && before > c.number()) {
                violations.add("host " + c.host() + " went back from " + before + " to " + c.number());
            }
        });
        return violations;
    }

    /** A reachable host shows every ticket that was accepted more than 5 s ago. */
    public static List<String> configurationIsInForce(History history) {
        List<TicketAccepted> accepted = history.all(TicketAccepted.class).toList();
        List<String> violations = new ArrayList<>();
        history.all(ConfigSeen.class)
                .filter(ConfigSeen::reachable)
                .forEach(seen -> accepted.stream()
                        .filter(t -> t.atMillis() + CONFIG_LIMIT_MILLIS < seen.atMillis() && t.number() > seen.number())
                        .forEach(t -> violations.add("host " + seen.host() + " is at " + seen.number() + ", ticket "
                                + t.number() + " was accepted " + (seen.atMillis() - t.atMillis()) + " ms before")));
        return violations;
    }
}
