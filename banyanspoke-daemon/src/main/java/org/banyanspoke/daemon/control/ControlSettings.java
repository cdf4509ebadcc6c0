package org.banyanspoke.daemon.control;

import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/**
 * Identity and addresses of the host that the control plane runs on.
 *
 * @param host this entry host
 * @param incarnation this process start
 * @param zone its availability zone
 * @param listenAddress {@code ip:port} on which the peer protocol listens
 * @param peerAddress {@code ip:port} under which other entry hosts reach it, as in the roster
 * @param seeds peer addresses to contact before the roster is known
 */
public record ControlSettings(
        HostId host,
        Incarnation incarnation,
        ZoneId zone,
        String listenAddress,
        String peerAddress,
        List<String> seeds) {
    /** Copies the seed list. */
    public ControlSettings {
        seeds = List.copyOf(seeds);
    }
}
