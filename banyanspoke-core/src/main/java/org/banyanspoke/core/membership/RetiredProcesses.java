package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.core.time.MonotonicClock;

/** Processes that have ended permanently, with the holders of their archives. Not thread safe. */
public final class RetiredProcesses {
    /**
     * Retention time of an update. Job ids may start jobs for 330 s and answers are retained for 120 s after that, so
     * after 15 minutes no archive is needed any more.
     */
    public static final long RETENTION_MILLIS = 900_000;

    private record Entry(RetiredUpdate update, long endedMillis) {}

    private final Map<Incarnation, Entry> entries = new HashMap<>();
    private final MonotonicClock clock;
    private final GossipBuffer gossip;

    /**
     * @param clock measures the age of updates
     * @param gossip receives every new update
     */
    public RetiredProcesses(MonotonicClock clock, GossipBuffer gossip) {
        this.clock = clock;
        this.gossip = gossip;
    }

    /** Merges an update. Returns whether it was new. */
    public boolean merge(RetiredUpdate update) {
        Entry known = entries.get(update.incarnation());
        boolean old = known != null && known.update().transfers() >= update.transfers();
        if (old || update.ageMillis() >= RETENTION_MILLIS) {
            return false;
        }
        entries.put(update.incarnation(), new Entry(update, clock.millis() - update.ageMillis()));
        gossip.add(update);
        return true;
    }

    /** Returns the update about a process with its current age. */
    public Optional<RetiredUpdate> find(Incarnation incarnation) {
        return Optional.ofNullable(entries.get(incarnation)).map(this::aged);
    }

    /** Returns all updates with their current ages. */
    public List<RetiredUpdate> updates() {
        List<RetiredUpdate> updates = new ArrayList<>();
        entries.values().forEach(entry -> updates.add(aged(entry)));
        return updates;
    }

    /** Removes updates whose retention time has passed. */
    public void tick() {
        long nowMillis = clock.millis();
        entries.values().removeIf(entry -> nowMillis - entry.endedMillis() >= RETENTION_MILLIS);
    }

    private RetiredUpdate aged(Entry entry) {
        RetiredUpdate update = entry.update();
        long ageMillis = clock.millis() - entry.endedMillis();
        return new RetiredUpdate(
                update.incarnation(), update.host(), update.successor(), update.transfers(), ageMillis);
    }
}
