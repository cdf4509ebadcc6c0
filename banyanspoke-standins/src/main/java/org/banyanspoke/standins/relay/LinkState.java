package org.banyanspoke.standins.relay;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a relayed link. */
public enum LinkState {
    /** Bytes pass. */
    @JsonProperty("open")
    OPEN,
    /** No bytes pass in either direction; connections stay open and continue when the link opens again. */
    @JsonProperty("silent")
    SILENT,
    /** Connections are closed, and new ones are closed at once. */
    @JsonProperty("reset")
    RESET
}
