package org.banyanspoke.core.schedule;

/** Slots that waiting tasks may use on servers shared with other hosts. */
public enum SlotAccess {
    /** Any free slot, including slots beyond the concurrency window of this host. */
    ALL_SLOTS,
    /** Only slots outside the reserve that each server holds for tasks of all hosts with access to all slots. */
    UNRESERVED_SLOTS
}
