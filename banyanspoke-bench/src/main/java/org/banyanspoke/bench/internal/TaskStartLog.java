package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.json.Json;

/** Task start times by server, read from a ledger file. */
public final class TaskStartLog {
    private final Map<String, List<Long>> nanosByServer = new HashMap<>();

    private TaskStartLog() {}

    /**
     * Reads a ledger file.
     *
     * @throws IOException if the file cannot be read or contains invalid JSON
     */
    public static TaskStartLog read(Path file) throws IOException {
        TaskStartLog starts = new TaskStartLog();
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                starts.add(Json.mapper().readTree(line));
            }
        }
        return starts;
    }

    private void add(JsonNode line) {
        if ("start".equals(line.path("event").asText())) {
            nanosByServer
                    .computeIfAbsent(line.path("server").asText(), server -> new ArrayList<>())
                    .add(line.path("atNanos").asLong());
        }
    }

    /** Returns the number of task starts on all servers in a half-open time interval. */
    public long countBetween(long fromNanos, long untilNanos) {
        return nanosByServer.keySet().stream()
                .mapToLong(server -> countBetween(server, fromNanos, untilNanos))
                .sum();
    }

    /** Returns the number of task starts on one server in a half-open time interval. */
    public long countBetween(String server, long fromNanos, long untilNanos) {
        return nanosByServer.getOrDefault(server, List.of()).stream()
                .filter(nanos -> nanos >= fromNanos && nanos < untilNanos)
                .count();
    }
}
