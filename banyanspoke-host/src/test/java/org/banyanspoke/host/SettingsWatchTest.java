package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.platform.PlatformSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against settings that are put in force in part, and against a reload that loads an idle host. */
class SettingsWatchTest {
    private static final String SETTINGS = """
            node = "edge-a-1"
            zone = "a"
            ip = "10.1.0.13"
            port_range = [7720,7735]
            [listen]
            front = "10.1.0.13:8161"
            ready = "10.1.0.13:8167"
            [limits]
            cpu_share = 0.75
            cores = 2
            [bounds]
            grace_s = 6
            max_hold_ms = 1000
            far_factor = 3
            [platform]
            address = "10.200.1.7:8169"
            """;

    private final AtomicInteger parsed = new AtomicInteger();

    @TempDir
    private Path folder;

    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void load() throws Exception {
        file = folder.resolve("node.toml");
        write(SETTINGS);
        watch = new SettingsWatch(file, text -> {
            parsed.incrementAndGet();
            return PlatformSettings.parse(text);
        });
    }

    private void write(String text) throws IOException {
        Files.writeString(file, text);
    }

    @Test
    void parsesOnlyChangedContent() throws Exception {
        for (int i = 0; i < 10; i++) {
            watch.reload();
        }
        assertThat(parsed).hasValue(1);
        write(SETTINGS.replace("10.200.1.7", "10.200.1.8"));
        watch.reload();
        assertThat(watch.current().storeAddress()).isEqualTo("10.200.1.8:8169");
        assertThat(parsed).hasValue(2);
    }

    @Test
    void keepsThePreviousSettingsWhileTheFileIsInvalidOrMissing() throws Exception {
        write(SETTINGS.replace("10.200.1.7:8169", "10.200.1.7:99999"));
        watch.reload();
        assertThat(watch.current().storeAddress()).isEqualTo("10.200.1.7:8169");
        Files.delete(file);
        watch.reload();
        assertThat(watch.current().storeAddress()).isEqualTo("10.200.1.7:8169");
        write(SETTINGS.replace("10.200.1.7", "10.200.1.9"));
        watch.reload();
        assertThat(watch.current().storeAddress()).isEqualTo("10.200.1.9:8169");
    }
}
