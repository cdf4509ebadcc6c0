package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers without an answer: a host that sent its state before its record had been read was chosen as
 * dispatcher although its address was unknown, and the job was lost.
 */
class HostDirectoryTest {
    private static final HostId OTHER = new HostId("other");
    private final HostDirectory directory = new HostDirectory(new HostId("self"));

    @Test
    void knowsAHostFromItsStateMessage() {
        assertThat(directory.knows(OTHER)).isFalse();
        directory.recordAddress(OTHER, "10.0.0.2:7720");
        assertThat(directory.knows(OTHER)).isTrue();
        assertThat(directory.address(OTHER)).isEqualTo("10.0.0.2:7720");
    }

    @Test
    void forgetsAHostWhoseRecordIsRemoved() {
        directory.onAll(List.of(HostDirectory.record(OTHER, "10.0.0.2:7720")));
        assertThat(directory.knows(OTHER)).isTrue();
        directory.onChanges(List.of(new StoreClient.Entry("other", new byte[0])));
        assertThat(directory.knows(OTHER)).isFalse();
    }

    @Test
    void knowsItselfButDoesNotListItself() {
        HostId self = new HostId("self");
        directory.recordAddress(self, "10.0.0.1:7720");
        assertThat(directory.knows(self)).isTrue();
        assertThat(directory.others()).isEmpty();
    }

    /** An invalid key threw an exception, which hid the following records and ended the reading of the host list. */
    @Test
    void ignoresOddRecordsAmongGoodOnes() {
        directory.onAll(List.of(
                new StoreClient.Entry("not a host!", address("10.0.0.3:7720")),
                new StoreClient.Entry("", address("10.0.0.3:7720")),
                new StoreClient.Entry("h".repeat(200), new byte[0]),
                HostDirectory.record(new HostId("text"), "somewhere"),
                HostDirectory.record(new HostId("port"), "10.0.0.1:99999"),
                new StoreClient.Entry("bytes", new byte[] {-1, 0, 7}),
                HostDirectory.record(OTHER, "10.0.0.2:7720")));
        assertThat(directory.others())
                .extracting(each -> each.getKey().value(), Map.Entry::getValue)
                .containsExactly(tuple("other", "10.0.0.2:7720"));
    }

    @Test
    void keepsTheLastValidAddress() {
        directory.onAll(List.of(HostDirectory.record(OTHER, "10.0.0.2:7720")));
        directory.onChanges(List.of(HostDirectory.record(OTHER, "10.0.0.2:99999")));
        directory.recordAddress(OTHER, "nowhere");
        assertThat(directory.address(OTHER)).isEqualTo("10.0.0.2:7720");
    }

    private static byte[] address(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
