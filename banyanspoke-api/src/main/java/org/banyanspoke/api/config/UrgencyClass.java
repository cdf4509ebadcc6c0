package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Urgency of a batch, most urgent first. */
public enum UrgencyClass {
    /** Served first. */
    @JsonProperty("urgent")
    URGENT,
    /** Served when no urgent work waits, and within its guaranteed share. */
    @JsonProperty("normal")
    NORMAL,
    /** Served last, and within its guaranteed share. */
    @JsonProperty("background")
    BACKGROUND
}
