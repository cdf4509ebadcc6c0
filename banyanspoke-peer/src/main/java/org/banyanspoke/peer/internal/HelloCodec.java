package org.banyanspoke.peer.internal;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.Hello;

/** Converts between {@link PeerIdentity} and {@link Hello}. */
final class HelloCodec {
    private static final int PROTOCOL_VERSION = 2;

    private HelloCodec() {}

    static Frame.Builder encode(PeerIdentity self) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setVersion(PROTOCOL_VERSION)
                        .setHost(self.host().value())
                        .setIncarnation(self.incarnation().value())
                        .setAddress(self.address()));
    }

    /**
     * @throws IllegalArgumentException if the protocol version is not supported or the host id is not valid
     */
    static PeerIdentity decode(Hello hello) {
        if (hello.getVersion() != PROTOCOL_VERSION) {
            throw new IllegalArgumentException("peer protocol version " + hello.getVersion() + " is not supported");
        }
        return new PeerIdentity(
                new HostId(hello.getHost()), new Incarnation(hello.getIncarnation()), hello.getAddress());
    }
}
