package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Entry of the platform's host list.
 *
 * @param id host id of an entry host or server id of a backend server
 * @param role whether it is an entry host or a backend server
 * @param state whether the platform is about to stop it
 */
public record ListedHost(String id, Role role, State state) {
    /** Function of a host. */
    public enum Role {
        /** An entry host. */
        @JsonProperty("entry")
        ENTRY,
        /** A backend server. */
        @JsonProperty("backend")
        BACKEND
    }

    /** Lifecycle state of a host. */
    public enum State {
        /** In use. */
        @JsonProperty("live")
        LIVE,
        /** The platform is about to stop it. */
        @JsonProperty("leaving")
        LEAVING
    }
}
