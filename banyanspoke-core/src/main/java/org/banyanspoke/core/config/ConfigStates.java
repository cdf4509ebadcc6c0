package org.banyanspoke.core.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;

/** Converts between {@link ConfigState} and the list form used in JSON documents. */
public final class ConfigStates {
    private ConfigStates() {}

    /** Returns all objects, each list sorted by id so that equal configurations serialize to equal JSON. */
    public static Ticket.Put toPut(ConfigState config) {
        return new Ticket.Put(
                sorted(config.teams().values(), TeamConfig::id),
                sorted(config.batches().values(), BatchConfig::id),
                sorted(config.servers().values(), BackendServerConfig::id),
                sorted(config.hosts().values(), EntryHostConfig::id),
                config.classShares());
    }

    /** Returns the configuration with the given objects; of several entries with one id, the last is used. */
    public static ConfigState fromPut(long number, Ticket.Put put) {
        return new ConfigState(
                number,
                byId(put.teams(), TeamConfig::id),
                byId(put.batches(), BatchConfig::id),
                byId(put.servers(), BackendServerConfig::id),
                byId(put.hosts(), EntryHostConfig::id),
                put.classShares() == null ? ClassShares.DEFAULT : put.classShares());
    }

    private static <K extends Comparable<K>, V> List<V> sorted(Collection<V> values, Function<V, K> id) {
        return values.stream().sorted(Comparator.comparing(id)).toList();
    }

    private static <K, V> Map<K, V> byId(List<V> values, Function<V, K> id) {
        return values.stream().collect(Collectors.toMap(id, Function.identity(), (first, last) -> last));
    }
}
