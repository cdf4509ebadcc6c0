package org.banyanspoke.core.membership;

/** An update that members disseminate. */
public sealed interface GossipUpdate permits MemberUpdate, ServerUpdate, RetiredUpdate {
    /** Returns the subject of the update. A later update replaces an earlier one with the same key. */
    Object key();
}
