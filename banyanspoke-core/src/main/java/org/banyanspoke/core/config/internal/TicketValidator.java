package org.banyanspoke.core.config.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;

/** Validates tickets. Each method adds one sentence to {@code faults} for each violated rule. */
public final class TicketValidator {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern LABEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._=/-]{0,62}");
    private static final int MAX_TEXT_LENGTH = 128;
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_QUOTA = 10_000_000;
    private static final int MAX_SLOTS = 1_024;
    private static final int MAX_CONNECTIONS = 65_535;

    /** Jobs take at most several seconds, so a promise above one day can only be a mistake. */
    private static final long MAX_PROMISE_MILLIS = 86_400_000;

    private TicketValidator() {}

    /** Checks number, id and author. */
    public static void checkHeader(long expectedNumber, Ticket ticket, List<String> faults) {
        if (ticket.number() != expectedNumber) {
            faults.add("number is " + ticket.number() + ", the next number is " + expectedNumber);
        }
        checkText("ticketId", ticket.ticketId(), faults);
        checkText("author", ticket.author(), faults);
    }

    /** Checks each entry on its own. */
    public static void checkEntries(Ticket ticket, List<String> faults) {
        Ticket.Put put = ticket.put();
        put.teams().forEach(team -> checkTeam(team, faults));
        put.batches().forEach(batch -> checkBatch(batch, faults));
        put.servers().forEach(server -> checkServer(server, faults));
        put.hosts().forEach(host -> checkHost(host, faults));
        if (put.classShares() != null) {
            checkShares(put.classShares(), faults);
        }
        if (isEmpty(ticket)) {
            faults.add("the ticket changes nothing");
        }
    }

    /** Checks the references between objects and the uniqueness of their values after the ticket. */
    public static void checkReferences(ConfigState after, List<String> faults) {
        for (BatchConfig batch : after.batches().values()) {
            if (!after.teams().containsKey(batch.team())) {
                faults.add("batch \"" + batch.id() + "\": team \"" + batch.team() + "\" does not exist");
            }
            for (ServerId server : batch.servers()) {
                if (!after.servers().containsKey(server)) {
                    faults.add("batch \"" + batch.id() + "\": server \"" + server + "\" does not exist");
                }
            }
        }
        checkUnique("servers", after.servers().values(), BackendServerConfig::address, faults);
        checkUnique("hosts", after.hosts().values(), EntryHostConfig::peerAddress, faults);
        checkUnique("teams", after.teams().values(), TeamConfig::tokenSha256, faults);
    }

    private static boolean isEmpty(Ticket ticket) {
        Ticket.Put put = ticket.put();
        Ticket.Remove remove = ticket.remove();
        return put.classShares() == null
                && List.of(put.teams(), put.batches(), put.servers(), put.hosts()).stream()
                        .allMatch(List::isEmpty)
                && List.of(remove.teams(), remove.batches(), remove.servers(), remove.hosts()).stream()
                        .allMatch(List::isEmpty);
    }

    private static void checkTeam(TeamConfig team, List<String> faults) {
        String where = "team \"" + team.id() + "\": ";
        checkPresent(where + "id", team.id(), faults);
        checkRange(where + "weight", team.weight(), 1, MAX_WEIGHT, faults);
        checkRange(where + "startsPerSecond", team.startsPerSecond(), 1, MAX_QUOTA, faults);
        checkRange(where + "tasksInFlight", team.tasksInFlight(), 1, MAX_QUOTA, faults);
        if (team.tokenSha256() == null || !SHA256.matcher(team.tokenSha256()).matches()) {
            faults.add(where + "tokenSha256 is not 64 lower-case hexadecimal digits");
        }
    }

    private static void checkBatch(BatchConfig batch, List<String> faults) {
        String where = "batch \"" + batch.id() + "\": ";
        checkPresent(where + "id", batch.id(), faults);
        checkPresent(where + "team", batch.team(), faults);
        checkPresent(where + "urgency", batch.urgency(), faults);
        checkPresent(where + "contractExpiry", batch.contractExpiry(), faults);
        checkRange(where + "promiseMillis", batch.promiseMillis(), 1, MAX_PROMISE_MILLIS, faults);
        checkLabels(where + "serverLabels", batch.serverLabels(), faults);
    }

    private static void checkServer(BackendServerConfig server, List<String> faults) {
        String where = "server \"" + server.id() + "\": ";
        checkPresent(where + "id", server.id(), faults);
        checkPresent(where + "zone", server.zone(), faults);
        checkText(where + "rack", server.rack(), faults);
        checkAddress(where + "address", server.address(), faults);
        checkRange(where + "slots", server.slots(), 1, MAX_SLOTS, faults);
        checkRange(where + "connections", server.connections(), 1, MAX_CONNECTIONS, faults);
        checkLabels(where + "labels", server.labels(), faults);
        checkPresent(where + "state", server.state(), faults);
    }

    private static void checkHost(EntryHostConfig host, List<String> faults) {
        String where = "host \"" + host.id() + "\": ";
        checkPresent(where + "id", host.id(), faults);
        checkPresent(where + "zone", host.zone(), faults);
        checkAddress(where + "peerAddress", host.peerAddress(), faults);
    }

    private static void checkShares(ClassShares shares, List<String> faults) {
        checkRange("classShares: urgentPercent", shares.urgentPercent(), 0, 100, faults);
        checkRange("classShares: normalPercent", shares.normalPercent(), 0, 100, faults);
        checkRange("classShares: backgroundPercent", shares.backgroundPercent(), 0, 100, faults);
        long sumPercent = (long) shares.urgentPercent() + shares.normalPercent() + shares.backgroundPercent();
        if (sumPercent != 100) {
            faults.add("classShares: the sum is " + sumPercent + " and must be 100");
        }
    }

    private static void checkPresent(String field, Object value, List<String> faults) {
        if (value == null) {
            faults.add(field + " is missing");
        }
    }

    private static void checkText(String field, String value, List<String> faults) {
        if (value == null || value.isBlank() || value.length() > MAX_TEXT_LENGTH) {
            faults.add(field + " must have 1 to " + MAX_TEXT_LENGTH + " characters");
        }
    }

    private static void checkRange(String field, long value, long min, long max, List<String> faults) {
        if (value < min || value > max) {
            faults.add(field + " is " + value + " and must be " + min + " to " + max);
        }
    }

    private static void checkLabels(String field, Collection<String> labels, List<String> faults) {
        for (String label : labels) {
            if (!LABEL.matcher(label).matches()) {
                faults.add(field + ": \"" + label + "\" is not a valid label");
            }
        }
    }

    private static void checkAddress(String field, String address, List<String> faults) {
        if (!isAddress(address)) {
            faults.add(field + " \"" + address + "\" is not ip:port");
        }
    }

    private static boolean isAddress(String address) {
        Matcher matcher = ADDRESS.matcher(address == null ? "" : address);
        if (!matcher.matches()) {
            return false;
        }
        for (int group = 1; group <= 4; group++) {
            if (Integer.parseInt(matcher.group(group)) > 255) {
                return false;
            }
        }
        int port = Integer.parseInt(matcher.group(5));
        return port >= 1 && port <= 65_535;
    }

    private static <V> void checkUnique(
            String kind, Collection<V> values, Function<V, String> field, List<String> faults) {
        Map<String, Integer> counts = new HashMap<>();
        values.forEach(value -> counts.merge(field.apply(value), 1, Integer::sum));
        counts.forEach((value, count) -> {
            if (count > 1) {
                faults.add(count + " " + kind + " have the same value \"" + value + "\"");
            }
        });
    }
}
