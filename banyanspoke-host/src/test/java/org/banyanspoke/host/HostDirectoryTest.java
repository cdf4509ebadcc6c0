package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers without an answer: a host that speaks before its record has been read became a dispatcher whose address
 * nobody knew, and the job that was sent to it was lost.
 */
class HostDirectoryTest {
    private static final HostId OTHER = new HostId("other");
    private final HostDirectory directory = new HostDirectory(new HostId("self"));

    @Test
    void aHostThatSpeaksIsKnownBeforeItsRecordIsRead() {
        assertThat(directory.knows(OTHER)).isFalse();
        directory.learn(OTHER, "10.0.0.2:7720");
        assertThat(directory.knows(OTHER)).isTrue();
        assertThat(directory.address(OTHER)).isEqualTo("10.0.0.2:7720");
    }

    @Test
    void aHostWhoseRecordWasRemovedIsNotKnown() {
        directory.onAll(List.of(HostDirectory.record(OTHER, "10.0.0.2:7720")));
        assertThat(directory.knows(OTHER)).isTrue();
        directory.onChanges(List.of(new StoreClient.Entry("other", new byte[0])));
        assertThat(directory.knows(OTHER)).isFalse();
    }

    @Test
    void thisHostIsKnownAndIsNoneOfTheOthers() {
        HostId self = new HostId("self");
        directory.learn(self, "10.0.0.1:7720");
        assertThat(directory.knows(self)).isTrue();
        assertThat(directory.others()).isEmpty();
    }
}
