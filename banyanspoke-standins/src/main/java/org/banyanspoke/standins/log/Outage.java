package org.banyanspoke.standins.log;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Response of the log to every request during a simulated outage. */
public enum Outage {
    /** No outage; requests are served. */
    @JsonProperty("none")
    NONE,
    /** Responds with 503 without applying the request. */
    @JsonProperty("refuse")
    REFUSE,
    /** Closes the connection without a response and without applying the request. */
    @JsonProperty("close")
    CLOSE,
    /** Never responds and does not apply the request. */
    @JsonProperty("silent")
    SILENT
}
