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
 * Backend servers that are leaving according to the host list, their own answers or updates of peers. A server is no
 * longer leaving when a later ticket puts it in service or it reports another incarnation. Not thread safe.
 */
public final class LeavingServers {
    private final Map<ServerId, ServerUpdate> updates = new TreeMap<>();
    private final GossipBuffer gossip;
    /** Servers that the host list reported as leaving when last read; null before the first read. */
    private Set<ServerId> listed;

    private boolean changed;

    /**
     * @param gossip receives every new update
     */
    public LeavingServers(GossipBuffer gossip) {
        this.gossip = gossip;
    }

    /** Returns the leaving servers, which must receive no new tasks. */
    public Set<ServerId> leaving() {
        return updates.values().stream()
                .filter(ServerUpdate::leaving)
                .map(ServerUpdate::server)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether there were new updates since the last call. */
    public boolean pollChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }

    /** Returns all updates, for members that have missed some. */
    public List<ServerUpdate> updates() {
        return List.copyOf(updates.values());
    }

    /**
     * Merges the servers that the host list reports as leaving. The list lags, so a server that it keeps reporting is
     * not marked as leaving again after a ticket has put it back in service.
     *
     * @param servers all servers that the list reports as leaving
     * @param configNumber number of the current configuration
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
     * Handles the answer of a server that reports whether it is leaving. An update without an incarnation, such as one
     * from the host list, is attributed to the first process that answers after it. The list lags, so this may already
     * be the next process, which then receives no tasks until a ticket puts it in service.
     *
     * @param incarnation the server's incarnation; empty if it did not report one
     * @param configNumber number of the current configuration
     */
    public void onAnswer(ServerId server, String incarnation, boolean leaving, long configNumber) {
        ServerUpdate known = updates.get(server);
        boolean sameProcess = known != null && known.incarnation().equals(incarnation);
        if (leaving && (known == null || !known.leaving() || !sameProcess)) {
            accept(server, incarnation, true, configNumber);
        } else if (!leaving && known != null && known.leaving() && !sameProcess && !incarnation.isEmpty()) {
            boolean incarnationUnknown = known.incarnation().isEmpty();
            accept(server, incarnation, incarnationUnknown, incarnationUnknown ? known.configNumber() : configNumber);
        }
    }

    /** Returns whether an update is still the latest one about its server. */
    public boolean isLatest(ServerUpdate update) {
        return update.equals(updates.get(update.server()));
    }

    /** Merges an update of a peer. Returns whether it was new. */
    public boolean merge(ServerUpdate update) {
        ServerUpdate known = updates.get(update.server());
        if (known != null && !update.supersedes(known)) {
            return false;
        }
        put(update);
        return true;
    }

    /** Handles an accepted ticket, which overrides earlier updates about the servers that it puts in service. */
    public void onTicket(Ticket ticket) {
        ticket.put().servers().stream()
                .filter(server -> server.state() == ServerState.IN_SERVICE)
                .forEach(server -> clearLeavingBefore(server.id(), ticket.number()));
    }

    /**
     * Handles a configuration that was adopted without its tickets. A server whose entry has changed was put by one of
     * these tickets.
     */
    public void onSnapshot(ConfigState before, ConfigState after) {
        after.servers().values().stream()
                .filter(server -> server.state() == ServerState.IN_SERVICE)
                .filter(server -> !server.equals(before.servers().get(server.id())))
                .forEach(server -> clearLeavingBefore(server.id(), after.number()));
    }

    private boolean isLeaving(ServerId server) {
        ServerUpdate known = updates.get(server);
        return known != null && known.leaving();
    }

    private void clearLeavingBefore(ServerId server, long number) {
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
        changed = true;
    }
}
