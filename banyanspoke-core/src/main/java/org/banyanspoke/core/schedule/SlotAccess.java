package org.banyanspoke.core.schedule;

/** What waiting work may claim of servers that it shares with other hosts. */
public enum SlotAccess {
    /** Any free slot, also beyond the host's own window. */
    ALL_SLOTS,
    /** Slots that leave a reserve on each server for protected work of all hosts. */
    UNRESERVED_SLOTS
}
