package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One host of the platform's list.
 *
 * @param id host id of an entry host or server id of a backend server
 * @param role what it is
 * @param state whether it is leaving
 */
public record ListedHost(String id, Role role, State state) {
    /** What a host is. */
    public enum Role {
        /** An entry host. */
        @JsonProperty("entry")
        ENTRY,
        /** A backend server. */
        @JsonProperty("backend")
        BACKEND
    }

    /** What the platform knows about a host. */
    public enum State {
        /** In use. */
        @JsonProperty("live")
        LIVE,
        /** Will stop soon. */
        @JsonProperty("leaving")
        LEAVING
    }
}
