package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
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
}
