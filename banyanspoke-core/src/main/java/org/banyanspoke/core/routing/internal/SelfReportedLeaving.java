package org.banyanspoke.core.routing.internal;

import java.util.Objects;

/**
 * Records whether a server reported in its responses that it is leaving. Reset by a new incarnation, and by newer
 * information from the configuration or the control plane.
 */
final class SelfReportedLeaving {
    private boolean leaving;
    private String incarnation;

    boolean isSet() {
        return leaving;
    }

    void onResponse(boolean reportsLeaving, String responseIncarnation) {
        if (reportsLeaving) {
            leaving = true;
            incarnation = responseIncarnation;
        } else if (leaving && responseIncarnation != null && !Objects.equals(responseIncarnation, incarnation)) {
            leaving = false;
        }
    }

    /** Discards the report, because the configuration or the control plane has newer information. */
    void clear() {
        leaving = false;
    }
}
