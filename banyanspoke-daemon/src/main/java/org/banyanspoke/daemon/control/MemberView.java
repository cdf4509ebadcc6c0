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
 * @param incarnation its process start; null if no message from it has been received
 * @param liveness liveness as determined by probes
 * @param configNumber the highest configuration number received from it; 0 if none
 */
public record MemberView(
        HostId host, ZoneId zone, String peerAddress, Incarnation incarnation, Liveness liveness, long configNumber) {
    /** Liveness of a host as determined by probes. */
    public enum Liveness {
        /** No message received yet. */
        @JsonProperty("unknown")
        UNKNOWN,
        /** Answers probes. */
        @JsonProperty("live")
        LIVE,
        /** Did not answer the latest probes. */
        @JsonProperty("suspect")
        SUSPECT,
        /** Did not answer within the suspicion timeout. */
        @JsonProperty("dead")
        DEAD,
        /** Left after a drain. */
        @JsonProperty("left")
        LEFT
    }
}
