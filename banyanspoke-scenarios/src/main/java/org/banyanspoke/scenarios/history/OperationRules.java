package org.banyanspoke.scenarios.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
        history.all(Leaving.class).forEach(l -> since.putIfAbsent(l.server(), l.atMillis()));
        return history.all(Event.Started.class)
                .filter(s ->
                        since.containsKey(s.server()) && s.atMillis() > since.get(s.server()) + LEAVING_GRACE_MILLIS)
                .map(s -> "server " + s.server() + " started task " + s.task() + " "
                        + (s.atMillis() - since.get(s.server())) + " ms after it was leaving")
                .toList();
    }

    /** A planned stop cuts off no request. */
    public static List<String> plannedStopCutsNothing(History history) {
        Map<String, Long> stops = new HashMap<>();
        history.all(PlannedStop.class).forEach(p -> stops.put(p.host(), p.atMillis()));
        return history.all(Event.ConnectionLost.class)
                .filter(c -> stops.containsKey(c.host()) && c.atMillis() >= stops.get(c.host()))
                .map(c -> "request " + c.request() + " was cut off by the planned stop of " + c.host())
                .toList();
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
