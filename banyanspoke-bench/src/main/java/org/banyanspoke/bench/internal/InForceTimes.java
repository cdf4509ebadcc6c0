package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.banyanspoke.api.json.Json;

/** When configurations came into force on each host, by the lines that the hosts write. */
final class InForceTimes {
    private static final String MESSAGE = "a configuration is in force";

    private final Map<Long, List<Instant>> byNumber = new HashMap<>();
    private final int hosts;

    private InForceTimes(int hosts) {
        this.hosts = hosts;
    }

    /**
     * Reads the output of all hosts.
     *
     * @throws IOException if a file cannot be read
     */
    static InForceTimes read(List<Path> outputs) throws IOException {
        InForceTimes times = new InForceTimes(outputs.size());
        for (Path output : outputs) {
            for (String line : Files.readAllLines(output)) {
                if (line.contains(MESSAGE)) {
                    times.add(Json.mapper().readTree(line));
                }
            }
        }
        return times;
    }

    private void add(JsonNode line) {
        byNumber.computeIfAbsent(line.path("configNumber").asLong(), number -> new ArrayList<>())
                .add(Instant.parse(line.path("time").asText()));
    }

    /**
     * Returns the largest time from acceptance (in force on the first host) to in force on the last, over the given numbers.
     * Empty if a number did not come into force on every host.
     */
    OptionalDouble slowestMillis(long fromNumber, long toNumber) {
        double slowest = 0;
        for (long number = fromNumber; number <= toNumber; number++) {
            List<Instant> times =
                    byNumber.getOrDefault(number, List.of()).stream().sorted().toList();
            if (times.size() < hosts) {
                return OptionalDouble.empty();
            }
            Duration spread = Duration.between(times.get(0), times.get(hosts - 1));
            slowest = Math.max(slowest, spread.toNanos() / 1e6);
        }
        return OptionalDouble.of(slowest);
    }
}
