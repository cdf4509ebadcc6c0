package org.banyanspoke.core.membership;

import java.util.List;

/**
 * Membership data that a member attaches to each message.
 *
 * @param configNumber number of the sender's configuration
 * @param sender the sender's update about itself
 * @param updates other updates
 */
public record Gossip(long configNumber, MemberUpdate sender, List<GossipUpdate> updates) {
    /** Copies the list. */
    public Gossip {
        updates = List.copyOf(updates);
    }
}
