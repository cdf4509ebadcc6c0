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
 * The members of the accepted roster and the newest update about each. Advisory: no safety property depends on it. Not
 * thread safe.
 */
public final class MemberTable {
    /** Time after which a suspected member that has not refuted the suspicion is declared dead. */
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
     * @param clock measures the time-outs of suspicions
     * @param gossip receives every new update
     */
    public MemberTable(HostId host, Incarnation incarnation, MonotonicClock clock, GossipBuffer gossip) {
        this.clock = clock;
        this.gossip = gossip;
        this.self = new MemberUpdate(host, incarnation, 1, MemberState.ALIVE);
    }

    /** Returns this process's update about itself. */
    public MemberUpdate self() {
        return self;
    }

    /**
     * Replaces the roster. Retains the updates about members that are also in the new roster.
     *
     * @param ownAddress peer address of this process; if the roster has another one for this host, another process has
     *     replaced this one, and updates about the host are no longer refuted
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

    /** Returns whether the roster has the address of another process for this host. */
    public boolean isReplaced() {
        return replaced;
    }

    /** Merges an update. Returns whether it was new. */
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

    /** Updates the configuration number that a member reported itself, if it is higher. */
    public void updateConfigNumber(HostId host, long configNumber) {
        Entry entry = entries.get(host);
        if (entry != null) {
            entry.configNumber = Math.max(entry.configNumber, configNumber);
        }
    }

    /** Marks an alive member as suspect after it did not answer a probe. */
    public void suspect(HostId host) {
        Entry entry = entries.get(host);
        if (entry != null && entry.latest != null && entry.latest.state() == MemberState.ALIVE) {
            accept(entry, withState(entry.latest, MemberState.SUSPECT));
        }
    }

    /** Declares suspect members dead that did not refute the suspicion before the time-out. */
    public void tick() {
        long nowMillis = clock.millis();
        for (Entry entry : entries.values()) {
            if (isSuspect(entry) && nowMillis - entry.suspectSinceMillis >= SUSPICION_MILLIS) {
                accept(entry, withState(entry.latest, MemberState.DEAD));
            }
        }
    }

    /**
     * Restarts the time-outs of suspicions after a pause of this process, because refutations may not have been read
     * yet.
     */
    public void onPause() {
        long nowMillis = clock.millis();
        entries.values().stream().filter(MemberTable::isSuspect).forEach(entry -> entry.suspectSinceMillis = nowMillis);
    }

    /** Announces that this process leaves. */
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

    /** Returns the members that are alive, without this host, sorted by id. */
    public List<Member> live() {
        return members().stream().filter(Member::isLive).toList();
    }

    /** Returns the number of members of the roster without this host. */
    public int size() {
        return entries.size();
    }

    /** Overrides an update about this host that is not this process's own with a higher heartbeat number. */
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
