package org.banyanspoke.core.schedule;

/** Slots that waiting tasks may use on servers shared with other hosts. */
public enum SlotAccess {
    /** Any free slot, including slots beyond the concurrency window of this host. */
    ALL_SLOTS,
    /** Only slots outside the reserve that each server keeps free for tasks with {@link #ALL_SLOTS}, of any host. */
    UNRESERVED_SLOTS
}
