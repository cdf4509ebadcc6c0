package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Administrative state of a backend server, set by operators. */
public enum ServerState {
    /** Receives new tasks. */
    @JsonProperty("in_service")
    IN_SERVICE,
    /** Completes its assigned tasks and receives no new ones. */
    @JsonProperty("leaving")
    LEAVING
}
