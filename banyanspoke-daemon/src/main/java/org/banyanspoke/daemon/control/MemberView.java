package org.banyanspoke.daemon.control;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/**
 * An entry host as this host sees it.
 *
 * @param host the host
 * @param zone its zone
 * @param peerAddress {@code ip:port} of its peer protocol
 * @param incarnation its process start; null if it was never heard of
 * @param liveness what probes say
 * @param configNumber the highest number heard from it; 0 if none
 */
public record MemberView(
        HostId host, ZoneId zone, String peerAddress, Incarnation incarnation, Liveness liveness, long configNumber) {
    /** What probes say about a host. */
    public enum Liveness {
        /** Never heard of. */
        @JsonProperty("unknown")
        UNKNOWN,
        /** Answers probes. */
        @JsonProperty("live")
        LIVE,
        /** Did not answer lately. */
        @JsonProperty("suspect")
        SUSPECT,
        /** Did not answer for the whole suspicion time. */
        @JsonProperty("dead")
        DEAD,
        /** Left after a drain. */
        @JsonProperty("left")
        LEFT
    }
}
