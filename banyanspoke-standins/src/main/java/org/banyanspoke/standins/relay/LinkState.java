package org.banyanspoke.standins.relay;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a relay link. */
public enum LinkState {
    /** Data is forwarded. */
    @JsonProperty("open")
    OPEN,
    /** No data is forwarded in either direction; connections stay open and resume when the link reopens. */
    @JsonProperty("silent")
    SILENT,
    /** Existing connections are closed and new ones are closed on accept. */
    @JsonProperty("reset")
    RESET
}
