package org.banyanspoke.peer.internal;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.Hello;

/** Converts identities. */
final class Hellos {
    private static final int VERSION = 2;

    private Hellos() {}

    static Frame.Builder of(PeerIdentity self) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setVersion(VERSION)
                        .setHost(self.host().value())
                        .setIncarnation(self.incarnation().value())
                        .setAddress(self.address()));
    }

    /**
     * @throws IllegalArgumentException if the version is unknown or the host id is not valid
     */
    static PeerIdentity parse(Hello hello) {
        if (hello.getVersion() != VERSION) {
            throw new IllegalArgumentException("peer protocol version " + hello.getVersion() + " is not supported");
        }
        return new PeerIdentity(
                new HostId(hello.getHost()), new Incarnation(hello.getIncarnation()), hello.getAddress());
    }
}
