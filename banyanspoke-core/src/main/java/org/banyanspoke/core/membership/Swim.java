package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Membership of one process: probes members, spreads statements and merges those of others. Sends nothing itself. Not
 * thread safe.
 */
public final class Swim {
    /** The design's limit for one message: 20 statements of about 40 B. */
    public static final int MAX_UPDATES = 20;

    /** A longer gap between ticks is a pause of the process. */
    public static final long PAUSE_MILLIS = 1_000;

    private final GossipBuffer buffer = new GossipBuffer();
    private final MonotonicClock clock;
    private final MemberTable table;
    private final LeavingServers servers;
    private final RetiredProcesses retired;
    private final ProbeSchedule schedule;
    private long lastTickMillis;
    private long configNumber;

    /**
     * @param host this host
     * @param incarnation this process
     * @param clock times probes and suspicions
     * @param random orders probes and chooses helpers
     */
    public Swim(HostId host, Incarnation incarnation, MonotonicClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.table = new MemberTable(host, incarnation, clock, buffer);
        this.servers = new LeavingServers(buffer);
        this.retired = new RetiredProcesses(clock, buffer);
        this.schedule = new ProbeSchedule(clock, random);
        this.lastTickMillis = clock.millis();
    }

    /** Returns the members. */
    public MemberTable table() {
        return table;
    }

    /** Returns the backend servers that are leaving. */
    public LeavingServers servers() {
        return servers;
    }

    /** Returns the processes that have ended. */
    public RetiredProcesses retired() {
        return retired;
    }

    /** Sets the number of this host's configuration, which is part of every message. */
    public void setConfigNumber(long number) {
        configNumber = number;
    }

    /** Advances timers and returns the probes to send. To be called at least every 250 ms. */
    public List<ProbeSchedule.Action> tick() {
        if (clock.millis() - lastTickMillis > PAUSE_MILLIS) {
            table.onPause();
            schedule.onPause();
        }
        lastTickMillis = clock.millis();
        table.tick();
        retired.tick();
        List<ProbeSchedule.Action> actions = schedule.tick(this::probeable, () -> hostsOf(table.live()));
        for (ProbeSchedule.Action action : actions) {
            if (action instanceof ProbeSchedule.Failed failed) {
                table.suspect(failed.target());
            }
        }
        return actions;
    }

    /** A member answered a probe, directly or to a helper. */
    public void onReached(HostId host) {
        schedule.onReached(host);
    }

    /** Takes what a member attached to a message. */
    public void onGossip(Gossip gossip) {
        table.merge(gossip.sender());
        table.noteConfigNumber(gossip.sender().host(), gossip.configNumber());
        gossip.updates().forEach(this::merge);
    }

    /**
     * Returns what to attach to a message. If this host believes that the receiver is not alive or knows another process
     * of it, the receiver is told, so that it can refute that.
     */
    public Gossip gossipFor(HostId receiver) {
        List<GossipUpdate> updates = new ArrayList<>();
        MemberUpdate known = table.find(receiver).map(Member::latest).orElse(null);
        if (known != null && known.state() != MemberState.ALIVE) {
            updates.add(known);
        }
        updates.addAll(buffer.take(MAX_UPDATES - updates.size(), table.size() + 1));
        return new Gossip(configNumber, table.self(), updates);
    }

    /** Returns the answer to a message: as {@link #gossipFor}, and another process's statement about the sender. */
    public Gossip answerTo(MemberUpdate sender) {
        Gossip gossip = gossipFor(sender.host());
        MemberUpdate known = table.find(sender.host()).map(Member::latest).orElse(sender);
        if (known.incarnation().equals(sender.incarnation()) || gossip.updates().contains(known)) {
            return gossip;
        }
        List<GossipUpdate> updates = new ArrayList<>(gossip.updates());
        updates.add(known);
        return new Gossip(gossip.configNumber(), gossip.sender(), updates);
    }

    /** Returns everything this host knows, for a member that has missed statements. */
    public Gossip everything() {
        List<GossipUpdate> updates = new ArrayList<>();
        table.members().stream()
                .filter(member -> member.latest() != null)
                .forEach(member -> updates.add(member.latest()));
        updates.addAll(servers.updates());
        updates.addAll(retired.updates());
        return new Gossip(configNumber, table.self(), updates);
    }

    private void merge(GossipUpdate update) {
        if (update instanceof MemberUpdate member) {
            table.merge(member);
        } else if (update instanceof ServerUpdate server) {
            servers.merge(server);
        } else if (update instanceof RetiredUpdate process) {
            retired.merge(process);
        }
    }

    private Set<HostId> probeable() {
        return table.members().stream()
                .filter(member -> !member.hasLeft())
                .map(member -> member.config().id())
                .collect(Collectors.toSet());
    }

    private static List<HostId> hostsOf(List<Member> members) {
        return members.stream().map(member -> member.config().id()).toList();
    }
}
