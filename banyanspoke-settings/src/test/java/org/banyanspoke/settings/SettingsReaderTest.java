package org.banyanspoke.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String VALID = """
            {
              // An entry host on loopback.
              "host": {"id": "h1", "zone": "z1", "region": "r1"},
              "callers": {"address": "127.0.0.1:8080"},
              "admin": {"address": "127.0.0.1:8081", "operatorTokensSha256": {"alice": "%s"}},
              "peer": {"address": "127.0.0.1:8082", "seeds": ["127.0.0.1:8092"]},
              "log": {"address": "127.0.0.1:9000"},
              "hostList": {"address": "127.0.0.1:9001"}
            }
            """.formatted("ab".repeat(32));

    private final SettingsReader reader = new SettingsReader();

    @Nested
    class Valid {
        /** Guards against documented fields that the reader rejects, and against wrong defaults. */
        @Test
        void usesDefaultsForOptionalFields() throws Exception {
            Settings settings = reader.parse(VALID);
            assertThat(settings.callers().maxBodyBytes()).isEqualTo(33_554_432);
            assertThat(settings.callers().maxHeldBodyBytes()).isEqualTo(67_108_864);
            assertThat(settings.drainNoticeMillis()).isEqualTo(2_000);
            assertThat(settings.policy()).isEqualTo(Settings.Policy.ADAPTIVE);
            assertThat(settings.peer().seeds()).hasSize(1);
        }
    }

    @Nested
    class Faulty {
        /** Guards against a report that ends at the first fault, so that an operator needs one start for each fault. */
        @Test
        void reportsEveryFaultAtOnce() {
            Approvals.verify(messageFor("""
                    {
                      "host": {"id": "h 1", "zone": 7, "color": "red"},
                      "callers": {"address": "localhost:8080", "maxBodyBytes": 10, "bodyTimeoutMillis": "soon"},
                      "admin": {"address": "127.0.0.1:8082", "operatorTokensSha256": {"alice": "secret"}},
                      "peer": {"address": "127.0.0.1:8082", "seeds": ["127.0.0.1:8092", "[::1]:1", 5]},
                      "log": "127.0.0.1:9000",
                      "drain": {"noticeMillis": -1},
                      "policy": {"name": "best"},
                      "logging": {"level": "LOUD"},
                      "extra": true
                    }
                    """));
        }

        /** Guards against a body limit that makes the listener reject every body of the maximum size. */
        @Test
        void reportsHeldBodyLimitBelowTwoBodies() {
            String settings = VALID.replace(
                    "\"127.0.0.1:8080\"}", "\"127.0.0.1:8080\", \"maxBodyBytes\": 5000, \"maxHeldBodyBytes\": 9999}");
            assertThat(messageFor(settings))
                    .contains("callers.maxHeldBodyBytes: found 9999, allowed: an integer from 10000 to");
        }

        /** Guards against a stack trace instead of a fault report for malformed JSON. */
        @Test
        void reportsMalformedJsonWithLineNumber() {
            assertThat(messageFor("{\n\"host\": {,}\n}")).contains("(whole file)", "line 2");
        }

        /** Guards against duplicate keys, of which the parser would use only the last. */
        @Test
        void reportsADuplicateKey() {
            assertThat(messageFor("{\"host\": {}, \"host\": {}}")).contains("Duplicate field 'host'");
        }

        /** Guards against a JSON array or number that is read as empty settings. */
        @Test
        void reportsARootThatIsNotAnObject() {
            assertThat(messageFor("[]")).contains("(whole file): found [], allowed: an object");
        }

        private String messageFor(String text) {
            return catchThrowableOfType(SettingsException.class, () -> reader.parse(text))
                    .getMessage();
        }
    }
}
