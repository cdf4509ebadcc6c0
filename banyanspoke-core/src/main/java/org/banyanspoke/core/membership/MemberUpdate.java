package org.banyanspoke.core.membership;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;

/**
 * An update about a member. Heartbeat numbers order the updates about all incarnations of one host: a new process
 * starts at 1 and raises its number above that of any update about an earlier process that it receives.
 *
 * @param host the member
 * @param incarnation the incarnation of its process
 * @param heartbeat raised by the member itself to refute an update
 * @param state its liveness
 */
public record MemberUpdate(HostId host, Incarnation incarnation, long heartbeat, MemberState state)
        implements GossipUpdate {
    @Override
    public HostId key() {
        return host;
    }

    /** Returns whether this update is newer than another one about the same host. Never true in both directions. */
    public boolean supersedes(MemberUpdate other) {
        boolean sameProcess = incarnation.equals(other.incarnation);
        if (sameProcess && other.state == MemberState.LEFT) {
            return false;
        }
        if (sameProcess && state == MemberState.LEFT) {
            return true;
        }
        if (heartbeat != other.heartbeat) {
            return heartbeat > other.heartbeat;
        }
        if (sameProcess) {
            return state.compareTo(other.state) > 0;
        }
        return Long.compareUnsigned(incarnation.value(), other.incarnation.value()) > 0;
    }
}
