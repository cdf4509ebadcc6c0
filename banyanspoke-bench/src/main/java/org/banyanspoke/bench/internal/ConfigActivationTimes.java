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

/** Times at which configurations came into force on each host, parsed from the log output of the hosts. */
final class ConfigActivationTimes {
    private static final String ACTIVATION_MESSAGE = "a configuration is in force";

    private final Map<Long, List<Instant>> activationsByNumber = new HashMap<>();
    private final int hostCount;

    private ConfigActivationTimes(int hostCount) {
        this.hostCount = hostCount;
    }

    /**
     * Parses the output files of all hosts.
     *
     * @throws IOException if a file cannot be read
     */
    static ConfigActivationTimes read(List<Path> outputs) throws IOException {
        ConfigActivationTimes times = new ConfigActivationTimes(outputs.size());
        for (Path output : outputs) {
            for (String line : Files.readAllLines(output)) {
                if (line.contains(ACTIVATION_MESSAGE)) {
                    times.add(Json.mapper().readTree(line));
                }
            }
        }
        return times;
    }

    private void add(JsonNode line) {
        activationsByNumber
                .computeIfAbsent(line.path("configNumber").asLong(), number -> new ArrayList<>())
                .add(Instant.parse(line.path("time").asText()));
    }

    /**
     * Returns the maximum propagation time over a range of configuration numbers, from activation on the first host
     * (acceptance) to activation on the last. Empty if a configuration was not activated on every host.
     */
    OptionalDouble maxPropagationMillis(long fromNumber, long toNumber) {
        double slowest = 0;
        for (long number = fromNumber; number <= toNumber; number++) {
            List<Instant> times = activationsByNumber.getOrDefault(number, List.of()).stream()
                    .sorted()
                    .toList();
            if (times.size() < hostCount) {
                return OptionalDouble.empty();
            }
            Duration spread = Duration.between(times.get(0), times.get(hostCount - 1));
            slowest = Math.max(slowest, spread.toNanos() / 1e6);
        }
        return OptionalDouble.of(slowest);
    }
}
