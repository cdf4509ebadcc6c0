package org.banyanspoke.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Statements that are still to be passed on. Those sent least often go first. Not thread safe. */
public final class GossipBuffer {
    /** Each statement is sent this often times log2 of the members, the usual factor of infection-style spreading. */
    private static final int TRANSMIT_FACTOR = 3;

    private static final class Entry {
        private final GossipUpdate update;
        private int sent;

        Entry(GossipUpdate update) {
            this.update = update;
        }
    }

    private final Map<Object, Entry> entries = new LinkedHashMap<>();

    /** Adds a statement, replacing an earlier one about the same. */
    public void add(GossipUpdate update) {
        entries.remove(update.key());
        entries.put(update.key(), new Entry(update));
    }

    /**
     * Returns statements for one message and counts them as sent.
     *
     * @param limit most statements to return
     * @param members number of members, which decides how often each statement is sent
     */
    public List<GossipUpdate> take(int limit, int members) {
        int transmissions = transmissions(members);
        List<Entry> chosen = entries.values().stream()
                .sorted(Comparator.comparingInt(entry -> entry.sent))
                .limit(limit)
                .toList();
        List<GossipUpdate> updates = new ArrayList<>();
        for (Entry entry : chosen) {
            updates.add(entry.update);
            entry.sent++;
            if (entry.sent >= transmissions) {
                entries.remove(entry.update.key());
            }
        }
        return updates;
    }

    /** Returns the number of statements that are still to be passed on. */
    public int size() {
        return entries.size();
    }

    static int transmissions(int members) {
        return TRANSMIT_FACTOR * (64 - Long.numberOfLeadingZeros(Math.max(1, members)));
    }
}
