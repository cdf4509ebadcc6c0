package org.banyanspoke.scenarios.cluster;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.scenarios.history.Event;
import org.banyanspoke.scenarios.history.History;

/** Thread-safe collector of events. */
public final class HistoryRecorder {
    private final List<Event> events = new ArrayList<>();

    /** Adds an event. */
    public synchronized void add(Event event) {
        events.add(event);
    }

    /** Returns the history of the events recorded so far. */
    public synchronized History history() {
        return new History(events);
    }
}
