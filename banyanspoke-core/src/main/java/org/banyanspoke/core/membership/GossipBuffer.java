package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Updates that are still to be disseminated, those sent least often first. Not thread safe. */
public final class GossipBuffer {
    /**
     * Each update is sent this factor times log2 of the number of members, as is usual for infection-style
     * dissemination.
     */
    private static final int TRANSMIT_FACTOR = 3;

    private static final class Entry {
        private final GossipUpdate update;
        private int sentCount;

        Entry(GossipUpdate update) {
            this.update = update;
        }
    }

    private final Map<Object, Entry> entries = new LinkedHashMap<>();

    /** Adds an update, replacing an earlier one with the same key. */
    public void add(GossipUpdate update) {
        entries.remove(update.key());
        entries.put(update.key(), new Entry(update));
    }

    /**
     * Returns updates for one message and counts them as sent.
     *
     * @param limit maximum number of updates to return
     * @param members number of members, which determines how often each update is sent
     */
    public List<GossipUpdate> take(int limit, int members) {
        int transmissions = transmissions(members);
        List<Entry> selected = entries.values().stream()
                .sorted(Comparator.comparingInt(entry -> entry.sentCount))
                .limit(limit)
                .toList();
        List<GossipUpdate> updates = new ArrayList<>();
        for (Entry entry : selected) {
            updates.add(entry.update);
            entry.sentCount++;
            if (entry.sentCount >= transmissions) {
                entries.remove(entry.update.key());
            }
        }
        return updates;
    }

    /** Returns the number of updates that are still to be disseminated. */
    public int size() {
        return entries.size();
    }

    static int transmissions(int members) {
        return TRANSMIT_FACTOR * (64 - Long.numberOfLeadingZeros(Math.max(1, members)));
    }
}
