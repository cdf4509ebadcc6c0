package org.banyanspoke.core.membership;

/** Liveness of a member. For equal heartbeat numbers, the state that is declared later here is the newer one. */
public enum MemberState {
    /** Answers probes. */
    ALIVE,
    /** Did not answer a probe and has not refuted the suspicion yet. */
    SUSPECT,
    /** Did not refute a suspicion before the time-out. */
    DEAD,
    /** Announced that it leaves. */
    LEFT
}
