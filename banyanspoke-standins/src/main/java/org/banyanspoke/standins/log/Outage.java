package org.banyanspoke.standins.log;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How the log behaves towards every request. */
public enum Outage {
    /** Works. */
    @JsonProperty("none")
    NONE,
    /** Answers 503; nothing is applied. */
    @JsonProperty("refuse")
    REFUSE,
    /** Closes the connection without an answer; nothing is applied. */
    @JsonProperty("close")
    CLOSE,
    /** Never answers; nothing is applied. */
    @JsonProperty("silent")
    SILENT
}
