package org.banyanspoke.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * The members of the accepted roster and the newest statement about each. A hint: no safety property depends on it. Not
 * thread safe.
 */
public final class MemberTable {
    /** The design's time from suspicion to death. */
    public static final long SUSPICION_MILLIS = 5_000;

    private static final class Entry {
        private EntryHostConfig config;
        private MemberUpdate latest;
        private long configNumber;
        private long suspectSinceMillis;

        Entry(EntryHostConfig config) {
            this.config = config;
        }

        Member toMember() {
            return new Member(config, latest, configNumber);
        }
    }

    private final Map<HostId, Entry> entries = new TreeMap<>();
    private final MonotonicClock clock;
    private final GossipBuffer gossip;
    private MemberUpdate self;
    private boolean replaced;

    /**
     * @param host this host
     * @param incarnation this process
     * @param clock times suspicions
     * @param gossip receives every new statement
     */
    public MemberTable(HostId host, Incarnation incarnation, MonotonicClock clock, GossipBuffer gossip) {
        this.clock = clock;
        this.gossip = gossip;
        this.self = new MemberUpdate(host, incarnation, 1, MemberState.ALIVE);
    }

    /** Returns this process's statement about itself. */
    public MemberUpdate self() {
        return self;
    }

    /**
     * Takes over a roster. Statements about members that stay are kept.
     *
     * @param ownAddress peer address of this process; if the roster has another one for this host, another process has
     *     replaced this one, and statements about the host are no longer refuted
     */
    public void setRoster(Collection<EntryHostConfig> roster, String ownAddress) {
        entries.keySet().retainAll(roster.stream().map(EntryHostConfig::id).toList());
        replaced = false;
        for (EntryHostConfig config : roster) {
            if (config.id().equals(self.host())) {
                replaced = !config.peerAddress().equals(ownAddress);
            } else {
                entries.computeIfAbsent(config.id(), id -> new Entry(config)).config = config;
            }
        }
    }

    /** Returns whether the roster names another process for this host. */
    public boolean isReplaced() {
        return replaced;
    }

    /** Takes a statement. Returns whether it was new. */
    public boolean merge(MemberUpdate update) {
        if (update.host().equals(self.host())) {
            return refute(update);
        }
        Entry entry = entries.get(update.host());
        if (entry == null || (entry.latest != null && !update.supersedes(entry.latest))) {
            return false;
        }
        accept(entry, update);
        return true;
    }

    /** Notes the configuration number that a member stated itself. */
    public void noteConfigNumber(HostId host, long configNumber) {
        Entry entry = entries.get(host);
        if (entry != null) {
            entry.configNumber = Math.max(entry.configNumber, configNumber);
        }
    }

    /** A member did not answer a probe. */
    public void suspect(HostId host) {
        Entry entry = entries.get(host);
        if (entry != null && entry.latest != null && entry.latest.state() == MemberState.ALIVE) {
            accept(entry, withState(entry.latest, MemberState.SUSPECT));
        }
    }

    /** Declares members dead that did not refute a suspicion in time. */
    public void tick() {
        long nowMillis = clock.millis();
        for (Entry entry : entries.values()) {
            if (isSuspect(entry) && nowMillis - entry.suspectSinceMillis >= SUSPICION_MILLIS) {
                accept(entry, withState(entry.latest, MemberState.DEAD));
            }
        }
    }

    /** This process was paused: refutations may wait to be read, so suspicions start anew. */
    public void onPause() {
        long nowMillis = clock.millis();
        entries.values().stream().filter(MemberTable::isSuspect).forEach(entry -> entry.suspectSinceMillis = nowMillis);
    }

    /** This process leaves. */
    public void leave() {
        self = withState(self, MemberState.LEFT);
        gossip.add(self);
    }

    /** Returns a member of the roster; empty for this host. */
    public Optional<Member> find(HostId host) {
        return Optional.ofNullable(entries.get(host)).map(Entry::toMember);
    }

    /** Returns the members of the roster without this host, sorted by id. */
    public List<Member> members() {
        return entries.values().stream().map(Entry::toMember).toList();
    }

    /** Returns the members that answer probes, without this host, sorted by id. */
    public List<Member> live() {
        return members().stream().filter(Member::isLive).toList();
    }

    /** Returns the number of members of the roster without this host. */
    public int size() {
        return entries.size();
    }

    /** A statement about this host that is not this process's own is overruled by a higher heartbeat number. */
    private boolean refute(MemberUpdate update) {
        boolean own = update.incarnation().equals(self.incarnation()) && update.state() == MemberState.ALIVE;
        if (own || replaced || self.state() == MemberState.LEFT || update.heartbeat() < self.heartbeat()) {
            return false;
        }
        self = new MemberUpdate(self.host(), self.incarnation(), update.heartbeat() + 1, MemberState.ALIVE);
        gossip.add(self);
        return true;
    }

    private void accept(Entry entry, MemberUpdate update) {
        entry.latest = update;
        entry.suspectSinceMillis = clock.millis();
        gossip.add(update);
    }

    private static boolean isSuspect(Entry entry) {
        return entry.latest != null && entry.latest.state() == MemberState.SUSPECT;
    }

    private static MemberUpdate withState(MemberUpdate update, MemberState state) {
        return new MemberUpdate(update.host(), update.incarnation(), update.heartbeat(), state);
    }
}
