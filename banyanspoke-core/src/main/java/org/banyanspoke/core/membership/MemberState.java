package org.banyanspoke.core.membership;

/** Liveness of a member. For equal heartbeat numbers the later state of this list is the newer statement. */
public enum MemberState {
    /** Answers probes. */
    ALIVE,
    /** Did not answer a probe and has not refuted that yet. */
    SUSPECT,
    /** Did not refute a suspicion in time. */
    DEAD,
    /** Said that it leaves. */
    LEFT
}
