package org.banyanspoke.peer;

import org.banyanspoke.peer.generated.Frame;

/**
 * Reply to a request.
 *
 * @param from the process that replied
 * @param frame the reply
 */
public record PeerReply(PeerIdentity from, Frame frame) {}
