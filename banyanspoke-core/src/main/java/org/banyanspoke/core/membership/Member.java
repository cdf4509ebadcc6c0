package org.banyanspoke.core.membership;

import org.banyanspoke.api.config.EntryHostConfig;

/**
 * An entry host of the roster.
 *
 * @param config its entry in the accepted configuration
 * @param latest the newest update about it; null if there is none
 * @param configNumber the highest configuration number received from it
 */
public record Member(EntryHostConfig config, MemberUpdate latest, long configNumber) {
    /** Returns whether the newest update reports the member as alive. */
    public boolean isLive() {
        return latest != null && latest.state() == MemberState.ALIVE;
    }

    /** Returns whether the newest update reports that the member has left. */
    public boolean hasLeft() {
        return latest != null && latest.state() == MemberState.LEFT;
    }
}
