package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.Test;

/** Guards against a rollback to an older configuration when a read of the store returns it again. */
class ConfigWatchTest {
    private final ConfigWatch watch = new ConfigWatch();

    private static StoreClient.Entry version(String number) {
        String value = "{\"version\":" + number + ",\"routes\":[]}";
        return new StoreClient.Entry("config", value.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void keepsTheNewestVersion() {
        watch.onAll(List.of(version("7")));
        watch.onChanges(List.of(version("9"), version("8")));
        assertThat(watch.config().orElseThrow().version()).isEqualTo(9);
    }

    @Test
    void ignoresAnInvalidVersion() {
        watch.onAll(List.of(version("7")));
        watch.onChanges(List.of(version("\"x\"")));
        assertThat(watch.config().orElseThrow().version()).isEqualTo(7);
    }
}
