package org.banyanspoke.core.schedule;

/** What waiting work may claim of servers that it shares with other hosts. */
public enum SlotClaim {
    /** Any free slot, also beyond the host's own window. */
    PROTECTED,
    /** Slots that leave a reserve on each server for protected work of all hosts. */
    YIELDING
}
