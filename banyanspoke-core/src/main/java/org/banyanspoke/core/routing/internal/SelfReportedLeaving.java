package org.banyanspoke.core.routing.internal;

import java.util.Objects;

/** Whether a server's own answers said that it is leaving. Ends with another incarnation or a newer ticket. */
final class SelfReportedLeaving {
    private boolean leaving;
    private String incarnation;

    boolean isSet() {
        return leaving;
    }

    void onAnswer(boolean saysLeaving, String answeredBy) {
        if (saysLeaving) {
            leaving = true;
            incarnation = answeredBy;
        } else if (leaving && answeredBy != null && !Objects.equals(answeredBy, incarnation)) {
            leaving = false;
        }
    }

    /** A ticket or a new process of the server ended what it had said. */
    void clear() {
        leaving = false;
    }
}
