package org.banyanspoke.settings;

import com.google.common.net.HostAndPort;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.jboss.logging.Logger;

/**
 * Immutable settings of a daemon, validated by {@link SettingsReader}. docs/api.md describes the file.
 *
 * @param host identity and location of this entry host
 * @param callers listener for requests of client accounts
 * @param admin listener for the admin API
 * @param peer settings of the peer protocol
 * @param logAddress address of the platform's configuration log
 * @param hostListAddress address of the platform's host list
 * @param drainNoticeMillis time from the change of readiness to 503 until new jobs are refused, in milliseconds
 * @param policy scheduling and routing policy
 * @param logLevel lowest level of messages that are logged
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

    /** Identity and location of this entry host. */
    public record Host(HostId id, ZoneId zone, String region) {}

    /**
     * Listener for requests of client accounts.
     *
     * @param address listening address; port 0 selects a free port
     * @param maxBodyBytes maximum size of a request body
     * @param bodyTimeoutMillis maximum time from the request head to the end of the body, in milliseconds
     * @param maxHeldBodyBytes maximum total size of the request bodies held in memory
     * @param headTimeoutMillis maximum time from the opening of a connection to the end of its first request head, in
     *     milliseconds
     * @param idleTimeoutMillis maximum time from a response to the end of the next request head, in milliseconds
     */
    public record Callers(
            HostAndPort address,
            int maxBodyBytes,
            long bodyTimeoutMillis,
            long maxHeldBodyBytes,
            long headTimeoutMillis,
            long idleTimeoutMillis) {}

    /**
     * Listener for the admin API.
     *
     * @param address listening address; port 0 selects a free port
     * @param operatorTokensSha256 SHA-256 hash of each operator's token in lower-case hexadecimal, by operator name
     */
    public record Admin(HostAndPort address, Map<String, String> operatorTokensSha256) {
        /** Makes a defensive copy of the map. */
        public Admin {
            operatorTokensSha256 = Map.copyOf(operatorTokensSha256);
        }
    }

    /**
     * Settings of the peer protocol.
     *
     * @param address listening address
     * @param advertisedAddress address for connections of other entry hosts, part of every job id; defaults to
     *     {@code address}
     * @param seeds peer addresses of entry hosts to contact on startup
     */
    public record Peer(HostAndPort address, HostAndPort advertisedAddress, List<HostAndPort> seeds) {
        /** Makes a defensive copy of the list. */
        public Peer {
            seeds = List.copyOf(seeds);
        }
    }

    /** Scheduling and routing policy. */
    public enum Policy {
        /** Fair sharing, learned server speeds and adaptive concurrency windows. */
        ADAPTIVE,
        /** First-come, first-served scheduling with power-of-two-choices routing; for benchmarks only. */
        BASELINE
    }
}
