package org.banyanspoke.daemon.settings;

import com.google.common.net.HostAndPort;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.jboss.logging.Logger;

/**
 * Settings of one daemon. Immutable and checked as a whole by {@link SettingsReader}; docs/api.md describes the file.
 *
 * @param host who and where this host is
 * @param callers the callers' port
 * @param admin the operators' port
 * @param peer the peer protocol
 * @param logAddress the platform's configuration log
 * @param hostListAddress the platform's host list
 * @param drainNoticeMillis time between readiness 503 and the first refusal, in milliseconds
 * @param policy scheduling and routing policy
 * @param logLevel lowest level that is logged
 */
public record Settings(
        Host host,
        Callers callers,
        Admin admin,
        Peer peer,
        HostAndPort logAddress,
        HostAndPort hostListAddress,
        long drainNoticeMillis,
        Policy policy,
        Logger.Level logLevel) {

    /** Identity and place of this host. */
    public record Host(HostId id, ZoneId zone, String region) {}

    /**
     * The callers' port.
     *
     * @param address where it listens; port 0 takes a free port
     * @param maxBodyBytes largest request body
     * @param bodyTimeoutMillis time from the request head to the end of the body, in milliseconds
     * @param maxHeldBodyBytes bytes of all request bodies held at once
     * @param headTimeoutMillis time from the opening of a connection to the end of its first request head, in milliseconds
     * @param idleTimeoutMillis time from a response to the end of the next request head, in milliseconds
     */
    public record Callers(
            HostAndPort address,
            int maxBodyBytes,
            long bodyTimeoutMillis,
            long maxHeldBodyBytes,
            long headTimeoutMillis,
            long idleTimeoutMillis) {}

    /**
     * The operators' port.
     *
     * @param address where it listens; port 0 takes a free port
     * @param operatorTokensSha256 SHA-256 of each operator's token in lower-case hexadecimal, by operator name
     */
    public record Admin(HostAndPort address, Map<String, String> operatorTokensSha256) {
        /** Copies the map. */
        public Admin {
            operatorTokensSha256 = Map.copyOf(operatorTokensSha256);
        }
    }

    /**
     * The peer protocol.
     *
     * @param address where it listens
     * @param advertisedAddress where other entry hosts reach it; part of every job id; the listening address unless set
     * @param seeds peer addresses of entry hosts to contact at the start
     */
    public record Peer(HostAndPort address, HostAndPort advertisedAddress, List<HostAndPort> seeds) {
        /** Copies the list. */
        public Peer {
            seeds = List.copyOf(seeds);
        }
    }

    /** Scheduling and routing policy. */
    public enum Policy {
        /** Fair shares, learned speeds and windows. */
        ADAPTIVE,
        /** First come, first served with the choice of two servers; only for measurements. */
        BASELINE
    }
}
