package org.banyanspoke.scenarios.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.banyanspoke.api.json.Json;

/**
 * The events of one run from all observers, sorted by time.
 *
 * @param events the events
 */
public record History(List<Event> events) {
    /** Sorts the events by time; events with equal times keep their relative order. */
    public History {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(Event::atMillis));
        events = List.copyOf(sorted);
    }

    /**
     * Parses a history from JSON lines; skips blank lines.
     *
     * @throws JsonProcessingException if a line is not a valid event
     */
    public static History parse(List<String> lines) throws JsonProcessingException {
        List<Event> events = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank()) {
                events.add(Json.mapper().readValue(line, Event.class));
            }
        }
        return new History(events);
    }

    /** Returns the events of the given type in order of time. */
    public <T extends Event> Stream<T> eventsOfType(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }

    /** Returns the history as JSON lines. */
    public String toJsonLines() {
        return events.stream().map(History::toJson).collect(Collectors.joining("\n"));
    }

    private static String toJson(Event event) {
        try {
            return Json.mapper().writerFor(Event.class).writeValueAsString(event);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
