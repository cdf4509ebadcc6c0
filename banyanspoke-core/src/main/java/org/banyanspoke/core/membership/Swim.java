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
 * SWIM membership protocol of one process: schedules probes, disseminates updates and merges those of others. Performs
 * no network I/O. Not thread safe.
 */
public final class Swim {
    /** Maximum number of updates in one message, of about 40 B each. */
    public static final int MAX_UPDATES = 20;

    /** A longer gap between ticks is treated as a pause of the process. */
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
     * @param clock measures the time-outs of probes and suspicions
     * @param random shuffles members and selects proxies
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

    /** Returns the processes that have ended permanently. */
    public RetiredProcesses retired() {
        return retired;
    }

    /** Sets the number of this host's configuration, which is part of every message. */
    public void setConfigNumber(long number) {
        configNumber = number;
    }

    /** Advances timers and returns the actions to take. Must be called at least every 250 ms. */
    public List<ProbeSchedule.Action> tick() {
        if (clock.millis() - lastTickMillis > PAUSE_MILLIS) {
            table.onPause();
            schedule.onPause();
        }
        lastTickMillis = clock.millis();
        table.tick();
        retired.tick();
        List<ProbeSchedule.Action> actions = schedule.tick(this::probeTargets, () -> hostsOf(table.live()));
        for (ProbeSchedule.Action action : actions) {
            if (action instanceof ProbeSchedule.Failed failed) {
                table.suspect(failed.target());
            }
        }
        return actions;
    }

    /** Handles the answer of a member to a probe, sent directly or by a proxy. */
    public void onProbeAck(HostId host) {
        schedule.onProbeAck(host);
    }

    /** Merges the gossip that a member attached to a message. */
    public void onGossip(Gossip gossip) {
        table.merge(gossip.sender());
        table.updateConfigNumber(gossip.sender().host(), gossip.configNumber());
        gossip.updates().forEach(this::merge);
    }

    /**
     * Returns the gossip to attach to a message. If this host's newest update about the receiver does not report it as
     * alive, the gossip includes that update, so that the receiver can refute it.
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

    /**
     * Returns the gossip for the reply to a message: as {@link #gossipFor}, with the newest update about the sender if
     * that is about another incarnation.
     */
    public Gossip replyTo(MemberUpdate sender) {
        Gossip gossip = gossipFor(sender.host());
        MemberUpdate known = table.find(sender.host()).map(Member::latest).orElse(sender);
        if (known.incarnation().equals(sender.incarnation()) || gossip.updates().contains(known)) {
            return gossip;
        }
        List<GossipUpdate> updates = new ArrayList<>(gossip.updates());
        updates.add(known);
        return new Gossip(gossip.configNumber(), gossip.sender(), updates);
    }

    /** Returns all updates that this host knows, for a member that has missed some. */
    public Gossip fullState() {
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

    private Set<HostId> probeTargets() {
        return table.members().stream()
                .filter(member -> !member.hasLeft())
                .map(member -> member.config().id())
                .collect(Collectors.toSet());
    }

    private static List<HostId> hostsOf(List<Member> members) {
        return members.stream().map(member -> member.config().id()).toList();
    }
}
