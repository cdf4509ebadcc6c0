package org.banyanspoke.core.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against addresses that cannot be connected to, but are rejected only when a connection is opened. */
class IpEndpointTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:1", "0.0.0.0:65535", "255.255.255.255:8080"})
    void acceptsAnIpv4AddressAndPort(String text) {
        assertThat(IpEndpoint.parse(text)).hasToString(text);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                "10.0.0.1",
                "10.0.0.1:",
                ":80",
                "somewhere",
                "somewhere:80",
                "10.0.0.1:0",
                "10.0.0.1:65536",
                "10.0.0.1:99999",
                "10.0.0.1:4294967376",
                "10.0.0.1:-80",
                "10.0.0.1:+80",
                "10.0.0.1:80 ",
                "999.1.1.1:8080",
                "10.0.0.256:80",
                "10.0.0:80",
                "10.0.0.1.2:80",
                "10.0..1:80",
                "........:8080",
                "10.0.0.1:80:80",
                "\u0661.0.0.1:80"
            })
    void rejectsAnythingElse(String text) {
        assertThat(IpEndpoint.tryParse(text)).isEmpty();
        assertThatThrownBy(() -> IpEndpoint.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
