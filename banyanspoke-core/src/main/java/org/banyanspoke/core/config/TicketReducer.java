package org.banyanspoke.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.core.config.internal.TicketValidator;

/**
 * Applies tickets to a configuration. The result depends only on the arguments: every host must make the same decision
 * for the same record, so no rule may read a clock, the settings or the software version.
 */
public final class TicketReducer {
    private TicketReducer() {}

    /**
     * Returns the configuration after applying a ticket.
     *
     * @throws InvalidTicketException with all faults if the number is not the next one or a rule is violated
     */
    public static ConfigState apply(ConfigState before, Ticket ticket) throws InvalidTicketException {
        List<String> faults = new ArrayList<>();
        TicketValidator.checkHeader(before.number() + 1, ticket, faults);
        TicketValidator.checkEntries(ticket, faults);
        if (!faults.isEmpty()) {
            throw new InvalidTicketException(faults);
        }
        ConfigState after = merge(before, ticket, faults);
        TicketValidator.checkReferences(after, faults);
        if (!faults.isEmpty()) {
            throw new InvalidTicketException(faults);
        }
        return after;
    }

    private static ConfigState merge(ConfigState before, Ticket ticket, List<String> faults) {
        Ticket.Put put = ticket.put();
        Ticket.Remove remove = ticket.remove();
        return new ConfigState(
                ticket.number(),
                merge("team", before.teams(), put.teams(), TeamConfig::id, remove.teams(), faults),
                merge("batch", before.batches(), put.batches(), BatchConfig::id, remove.batches(), faults),
                merge("server", before.servers(), put.servers(), BackendServerConfig::id, remove.servers(), faults),
                merge("host", before.hosts(), put.hosts(), EntryHostConfig::id, remove.hosts(), faults),
                put.classShares() == null ? before.classShares() : put.classShares());
    }

    private static <K, V> Map<K, V> merge(
            String kind, Map<K, V> before, List<V> put, Function<V, K> id, List<K> remove, List<String> faults) {
        Map<K, V> after = new HashMap<>(before);
        Set<K> listed = new HashSet<>();
        for (V value : put) {
            K key = id.apply(value);
            checkListedOnce(kind, listed, key, faults);
            after.put(key, value);
        }
        for (K key : remove) {
            checkListedOnce(kind, listed, key, faults);
            if (after.remove(key) == null) {
                faults.add("remove: " + kind + " \"" + key + "\" does not exist");
            }
        }
        return after;
    }

    private static <K> void checkListedOnce(String kind, Set<K> listed, K key, List<String> faults) {
        if (!listed.add(key)) {
            faults.add(kind + " \"" + key + "\" is listed more than once");
        }
    }
}
