package org.banyanspoke.peer;

/** Thrown when a request to a peer fails: no reply in time, an error reply, or an unusable connection. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * @param message error message, with the peer's address
     * @param sent whether the request may have reached the peer
     */
    public PeerException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /** Creates an exception with a cause. */
    public PeerException(String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.sent = sent;
    }

    /** Returns whether the request may have reached the peer. */
    public boolean mayHaveArrived() {
        return sent;
    }
}
