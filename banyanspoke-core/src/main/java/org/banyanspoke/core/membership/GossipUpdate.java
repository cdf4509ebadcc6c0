package org.banyanspoke.core.membership;

/** One statement that members pass on. */
public sealed interface GossipUpdate permits MemberUpdate, ServerUpdate, RetiredUpdate {
    /** Returns what the statement is about. A later statement about the same replaces an earlier one. */
    Object key();
}
