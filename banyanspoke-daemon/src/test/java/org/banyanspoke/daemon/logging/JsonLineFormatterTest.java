package org.banyanspoke.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.banyanspoke.api.json.Json;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JsonLineFormatterTest {
    private final JsonLineFormatter formatter = new JsonLineFormatter(Map.of("zone", "z1"));

    @Nested
    class Lines {
        /** Guards against line breaks in a message or stack trace that split one event over several lines. */
        @Test
        void oneEventIsOneLineWithItsFields() throws Exception {
            ExtLogRecord record = new ExtLogRecord(Level.WARN, "first\nsecond \"quoted\"", "logger");
            record.putMdc("job", "j1");
            record.putMdc("errorKind", "OVERLOADED");
            record.setThrown(new IllegalStateException("reason"));
            String line = formatter.format(record);
            assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
            JsonNode json = Json.mapper().readTree(line);
            assertThat(json.at("/message").asText()).isEqualTo("first\nsecond \"quoted\"");
            assertThat(json.at("/job").asText()).isEqualTo("j1");
            assertThat(json.at("/errorKind").asText()).isEqualTo("OVERLOADED");
            assertThat(json.at("/zone").asText()).isEqualTo("z1");
            assertThat(json.at("/exception").asText()).contains("IllegalStateException: reason");
        }
    }
}
