package org.banyanspoke.daemon.control;

import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/**
 * What the control plane must know about its host.
 *
 * @param host this entry host
 * @param incarnation this process start
 * @param zone its availability zone
 * @param peerAddress {@code ip:port} of its peer protocol
 * @param seeds peer addresses to contact before the roster is known
 */
public record ControlSettings(
        HostId host, Incarnation incarnation, ZoneId zone, String peerAddress, List<String> seeds) {
    /** Copies the list. */
    public ControlSettings {
        seeds = List.copyOf(seeds);
    }
}
