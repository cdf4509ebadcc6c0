package org.banyanspoke.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;

/**
 * Backend servers that are leaving by the host list, by their own answers or by what peers pass on. A statement ends when
 * a later ticket puts the server in service or the server reports another incarnation. Not thread safe.
 */
public final class LeavingServers {
    private final Map<ServerId, ServerUpdate> updates = new TreeMap<>();
    private final GossipBuffer gossip;
    /** The host list as last read; null before the first read. */
    private Set<ServerId> listed;

    private boolean news;

    /**
     * @param gossip receives every new statement
     */
    public LeavingServers(GossipBuffer gossip) {
        this.gossip = gossip;
    }

    /** Returns the servers that must receive no new work. */
    public Set<ServerId> leaving() {
        return updates.values().stream()
                .filter(ServerUpdate::leaving)
                .map(ServerUpdate::server)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether there were new statements since the last call. */
    public boolean takeNews() {
        boolean had = news;
        news = false;
        return had;
    }

    /** Returns all statements, for members that have missed some. */
    public List<ServerUpdate> updates() {
        return List.copyOf(updates.values());
    }

    /**
     * Takes the servers that the host list reports as leaving. The list lags, so a server that it has reported all along
     * is not reported again after a ticket has put it back in service.
     *
     * @param servers all servers that the list reports as leaving
     * @param configNumber number of the present configuration
     */
    public void onListed(Set<ServerId> servers, long configNumber) {
        for (ServerId server : servers) {
            boolean isNew = listed == null ? !updates.containsKey(server) : !listed.contains(server);
            if (isNew && !isLeaving(server)) {
                accept(server, "", true, configNumber);
            }
        }
        listed = Set.copyOf(servers);
    }

    /**
     * A server's own answer said whether it is leaving. A statement that names no incarnation, as those of the host list,
     * is taken to be about the first process that answers after it: the list lags, so this process may already be the next
     * one, which then stays out until a ticket.
     *
     * @param incarnation the server's incarnation; empty if it did not say
     * @param configNumber number of the present configuration
     */
    public void onAnswer(ServerId server, String incarnation, boolean leaving, long configNumber) {
        ServerUpdate known = updates.get(server);
        boolean sameProcess = known != null && known.incarnation().equals(incarnation);
        if (leaving && (known == null || !known.leaving() || !sameProcess)) {
            accept(server, incarnation, true, configNumber);
        } else if (!leaving && known != null && known.leaving() && !sameProcess && !incarnation.isEmpty()) {
            boolean unnamed = known.incarnation().isEmpty();
            accept(server, incarnation, unnamed, unnamed ? known.configNumber() : configNumber);
        }
    }

    /** Returns whether a statement is still the latest one about its server. */
    public boolean isLatest(ServerUpdate update) {
        return update.equals(updates.get(update.server()));
    }

    /** Takes a statement of a peer. Returns whether it was new. */
    public boolean merge(ServerUpdate update) {
        ServerUpdate known = updates.get(update.server());
        if (known != null && !update.supersedes(known)) {
            return false;
        }
        put(update);
        return true;
    }

    /** A ticket was accepted: servers that it puts in service are no longer leaving by earlier statements. */
    public void onTicket(Ticket ticket) {
        ticket.put().servers().stream()
                .filter(server -> server.state() == ServerState.IN_SERVICE)
                .forEach(server -> endBefore(server.id(), ticket.number()));
    }

    /**
     * A configuration was taken over without its tickets. A server whose entry has changed was put by one of them.
     */
    public void onSnapshot(ConfigState before, ConfigState after) {
        after.servers().values().stream()
                .filter(server -> server.state() == ServerState.IN_SERVICE)
                .filter(server -> !server.equals(before.servers().get(server.id())))
                .forEach(server -> endBefore(server.id(), after.number()));
    }

    private boolean isLeaving(ServerId server) {
        ServerUpdate known = updates.get(server);
        return known != null && known.leaving();
    }

    private void endBefore(ServerId server, long number) {
        ServerUpdate known = updates.get(server);
        if (known != null && known.leaving() && known.configNumber() < number) {
            accept(server, known.incarnation(), false, number);
        }
    }

    private void accept(ServerId server, String incarnation, boolean leaving, long configNumber) {
        ServerUpdate known = updates.get(server);
        long version = known == null ? 1 : known.version() + 1;
        put(new ServerUpdate(server, incarnation, version, leaving, configNumber));
    }

    private void put(ServerUpdate update) {
        updates.put(update.server(), update);
        gossip.add(update);
        news = true;
    }
}
