package org.banyanspoke.bench.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigActivationTimesTest {
    @TempDir
    private Path directory;

    private Path output(String name, String... numbersAndSeconds) throws IOException {
        StringBuilder lines = new StringBuilder("{\"message\":\"started\"}\nno JSON\n");
        for (String pair : numbersAndSeconds) {
            String[] parts = pair.split("@", -1);
            lines.append("{\"time\":\"2030-01-01T00:00:")
                    .append(parts[1])
                    .append("Z\",\"message\":\"a configuration is in force\",\"configNumber\":\"")
                    .append(parts[0])
                    .append("\"}\n");
        }
        return Files.writeString(directory.resolve(name), lines);
    }

    @Nested
    class MaxPropagationMillis {
        /** Guards against a fast ticket that masks a slower one. */
        @Test
        void isTheMaximumOverTheTickets() throws IOException {
            ConfigActivationTimes times = ConfigActivationTimes.read(
                    List.of(output("h1", "2@10.000", "3@11.000"), output("h2", "2@10.040", "3@11.250")));
            assertThat(times.maxPropagationMillis(2, 3)).hasValue(250);
        }

        /** Guards against a ticket that was never activated on one host and therefore appears fast. */
        @Test
        void isEmptyIfAHostDoesNotActivateATicket() throws IOException {
            ConfigActivationTimes times =
                    ConfigActivationTimes.read(List.of(output("h1", "2@10.000", "3@11.000"), output("h2", "2@10.040")));
            assertThat(times.maxPropagationMillis(2, 3)).isEmpty();
        }
    }
}
