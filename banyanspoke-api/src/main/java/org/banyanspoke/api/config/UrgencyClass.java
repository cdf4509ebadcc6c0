package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Urgency class of a batch, in order of descending priority. */
public enum UrgencyClass {
    /** Scheduled first. */
    @JsonProperty("urgent")
    URGENT,
    /** Scheduled when no urgent task waits, and within its guaranteed share. */
    @JsonProperty("normal")
    NORMAL,
    /** Scheduled when no other task waits, and within its guaranteed share. */
    @JsonProperty("background")
    BACKGROUND
}
