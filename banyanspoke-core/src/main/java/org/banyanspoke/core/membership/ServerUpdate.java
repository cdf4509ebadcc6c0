package org.banyanspoke.core.membership;

import org.banyanspoke.api.ids.ServerId;

/**
 * A statement about a backend server that was seen to leave.
 *
 * @param server the server
 * @param incarnation the server's own incarnation; empty if it did not say
 * @param version raised with each new statement about the server
 * @param leaving whether it is leaving
 * @param configNumber number of the configuration when the statement was made; a later ticket overrides it
 */
public record ServerUpdate(ServerId server, String incarnation, long version, boolean leaving, long configNumber)
        implements GossipUpdate {
    @Override
    public ServerId key() {
        return server;
    }

    /** Returns whether this statement is newer. For equal versions leaving wins, as it is the safe side. */
    boolean supersedes(ServerUpdate other) {
        if (version != other.version) {
            return version > other.version;
        }
        if (leaving != other.leaving) {
            return leaving;
        }
        return configNumber > other.configNumber;
    }
}
