package org.banyanspoke.core.membership;

import org.banyanspoke.api.ids.ServerId;

/**
 * An update about a backend server that was reported as leaving.
 *
 * @param server the server
 * @param incarnation the server's own incarnation; empty if it did not report one
 * @param version raised with each new update about the server
 * @param leaving whether it is leaving
 * @param configNumber number of the configuration when the update was made; a later ticket overrides it
 */
public record ServerUpdate(ServerId server, String incarnation, long version, boolean leaving, long configNumber)
        implements GossipUpdate {
    @Override
    public ServerId key() {
        return server;
    }

    /**
     * Returns whether this update is newer. For equal versions leaving takes precedence, because it is the safe choice.
     */
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
