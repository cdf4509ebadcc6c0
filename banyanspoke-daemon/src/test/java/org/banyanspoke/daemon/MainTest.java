package org.banyanspoke.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    @TempDir
    private Path directory;

    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
    private final Main main = new Main(new PrintStream(error, true, StandardCharsets.UTF_8));

    private String errorText() {
        return error.toString(StandardCharsets.UTF_8);
    }

    private String settingsFile(String text) throws Exception {
        return Files.writeString(directory.resolve("settings.json"), text).toString();
    }

    @Nested
    class Check {
        /** Guards against a settings example in docs/api.md that the daemon rejects. */
        @Test
        void acceptsTheDocumentedExample() throws Exception {
            String page = Files.readString(Path.of("..", "docs", "api.md"));
            String section = page.substring(page.indexOf("## Settings of the daemon"));
            String example = section.split("```", -1)[1].replace("<hex>", "0".repeat(64));
            assertThat(main.run("--settings", settingsFile(example), "--check")).isEqualTo(ExitCode.OK);
        }

        /** Guards against a deployment script that cannot tell invalid settings by the exit code. */
        @Test
        void reportsInvalidSettingsWithTheirOwnExitCode() throws Exception {
            ExitCode code = main.run("--settings", settingsFile("{\"callers\": {}}"), "--check");
            assertThat(code).isEqualTo(ExitCode.SETTINGS_INVALID);
            assertThat(errorText()).contains("callers.address: found absent");
        }
    }

    @Nested
    class CommandLine {
        /** Guards against a stack trace, or a start with defaults, on an invalid argument. */
        @Test
        void invalidArgumentsAreAUsageError() {
            assertThat(main.run("--setings", "x")).isEqualTo(ExitCode.USAGE);
            assertThat(errorText()).contains("usage: banyanspoked");
        }
    }
}
