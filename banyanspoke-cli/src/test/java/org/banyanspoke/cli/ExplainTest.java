package org.banyanspoke.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against missing the log lines that explain why a job failed when searching by its id. */
class ExplainTest {
    private static final String LOG = """
            1.2 edge-b-1 {"time":"2026-01-01T00:00:02Z","host":"b-1","message":"a run ended without result","job":"00000000000000aa","server":"i-1","end":"LAPSED"}
            1.1 edge-b-1 {"time":"2026-01-01T00:00:01Z","host":"b-1","message":"server silent","server":"i-1","reason":"UNKNOWN"}
            1.1 edge-b-1 {"time":"2026-01-01T00:00:01Z","host":"b-1","message":"server silent","server":"i-2","reason":"UNKNOWN"}
            # not a log line {
            1.3 edge-a-1 {"time":"2026-01-01T00:00:03Z","host":"a-1","message":"answered a caller","job":"00000000000000aa","outcome":"ABANDONED"}
            1.3 edge-a-1 {"time":"2026-01-01T00:00:03Z","host":"a-1","message":"answered a caller","job":"00000000000000bb","outcome":"COMPLETED"}
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... arguments) throws IOException {
        return new CommandLine(
                        Map.of(),
                        new ByteArrayInputStream(LOG.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    @Test
    void printsLinesOfJobAndOfItsServerInTimeOrder() throws IOException {
        assertThat(run("explain", "00000000000000aa", "-")).isEqualTo(ExitCode.SUCCESS);
        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .hasSize(3)
                .satisfiesExactly(
                        line -> assertThat(line).contains("server silent").contains("i-1"),
                        line -> assertThat(line).contains("end=LAPSED"),
                        line -> assertThat(line).contains("outcome=ABANDONED"));
    }

    @Test
    void unknownJobIsReported() throws IOException {
        assertThat(run("explain", "00000000000000cc", "-")).isEqualTo(ExitCode.MAY_HAVE_RUN);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("00000000000000cc");
    }
}
