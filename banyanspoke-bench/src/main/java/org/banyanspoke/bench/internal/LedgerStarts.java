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

/** The starts in a ledger file, as times by server. */
public final class LedgerStarts {
    private final Map<String, List<Long>> nanosByServer = new HashMap<>();

    private LedgerStarts() {}

    /**
     * Reads a ledger file.
     *
     * @throws IOException if the file cannot be read or a line is not JSON
     */
    public static LedgerStarts read(Path file) throws IOException {
        LedgerStarts starts = new LedgerStarts();
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

    /** Returns the starts on all servers between two times. */
    public long between(long fromNanos, long untilNanos) {
        return nanosByServer.keySet().stream()
                .mapToLong(server -> between(server, fromNanos, untilNanos))
                .sum();
    }

    /** Returns the starts on one server between two times. */
    public long between(String server, long fromNanos, long untilNanos) {
        return nanosByServer.getOrDefault(server, List.of()).stream()
                .filter(nanos -> nanos >= fromNanos && nanos < untilNanos)
                .count();
    }
}
