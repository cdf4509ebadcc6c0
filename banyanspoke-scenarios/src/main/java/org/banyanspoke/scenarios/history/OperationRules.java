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
    /** Time after which a leaving backend server starts no task; the requirement is "within a few seconds". */
    static final long LEAVING_GRACE_PERIOD_MILLIS = 3_000;
    /** Time within which an accepted configuration is in force on every reachable host. */
    static final long CONFIG_PROPAGATION_LIMIT_MILLIS = 5_000;

    private OperationRules() {}

    /** A leaving backend server starts no task after the grace period. */
    public static List<String> leavingServerStartsNoTask(History history) {
        Map<String, Long> leavingSinceMillis = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (Event event : history.events()) {
            if (event instanceof Leaving leaving) {
                leavingSinceMillis.putIfAbsent(leaving.server(), leaving.atMillis());
            } else if (event instanceof Event.InService returned) {
                leavingSinceMillis.remove(returned.server());
            } else if (event instanceof Event.Started started && leavingSinceMillis.containsKey(started.server())) {
                long millisSinceLeaving = started.atMillis() - leavingSinceMillis.get(started.server());
                if (millisSinceLeaving > LEAVING_GRACE_PERIOD_MILLIS) {
                    violations.add("server " + started.server() + " started task " + started.task() + " of job "
                            + started.jobId() + " " + millisSinceLeaving + " ms after it began to leave");
                }
            }
        }
        return violations;
    }

    /** A graceful shutdown aborts no request until the process is killed or replaced. */
    public static List<String> gracefulShutdownAbortsNoRequest(History history) {
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
                violations.add("request " + lost.request() + " lost its connection during the graceful shutdown of "
                        + lost.host());
            }
        }
        return violations;
    }

    /** At most one ticket is accepted for a number, and no host reverts to a lower number. */
    public static List<String> configurationNeverReverts(History history) {
        List<String> violations = new ArrayList<>();
        Map<Long, String> tickets = new HashMap<>();
        history.eventsOfType(TicketAccepted.class).forEach(t -> {
            String other = tickets.putIfAbsent(t.number(), t.ticketId());
            if (other != null && !other.equals(t.ticketId())) {
                violations.add("number " + t.number() + " was accepted for ticket " + other + " and for ticket "
                        + t.ticketId());
            }
        });
        Map<String, Long> seen = new HashMap<>();
        history.eventsOfType(ConfigSeen.class).forEach(c -> {
            Long before = seen.put(c.host(), c.number());
            if (before != null && before > c.number()) {
                violations.add("host " + c.host() + " reverted from configuration " + before + " to " + c.number());
            }
        });
        return violations;
    }

    /** A reachable host reports at least the number of every ticket accepted more than 5 s ago. */
    public static List<String> acceptedConfigurationIsInForce(History history) {
        List<TicketAccepted> accepted =
                history.eventsOfType(TicketAccepted.class).toList();
        List<String> violations = new ArrayList<>();
        history.eventsOfType(ConfigSeen.class)
                .filter(ConfigSeen::reachable)
                .forEach(seen -> accepted.stream()
                        .filter(t -> t.atMillis() + CONFIG_PROPAGATION_LIMIT_MILLIS < seen.atMillis()
                                && t.number() > seen.number())
                        .forEach(t -> violations.add("host " + seen.host() + " reports configuration " + seen.number()
                                + " although ticket " + t.number() + " was accepted " + (seen.atMillis() - t.atMillis())
                                + " ms earlier")));
        return violations;
    }
}
