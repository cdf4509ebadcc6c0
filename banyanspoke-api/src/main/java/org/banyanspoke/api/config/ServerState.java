package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether operators want a backend server to receive work. */
public enum ServerState {
    /** Receives work. */
    @JsonProperty("in_service")
    IN_SERVICE,
    /** Finishes what it has and receives no new work. */
    @JsonProperty("leaving")
    LEAVING
}
