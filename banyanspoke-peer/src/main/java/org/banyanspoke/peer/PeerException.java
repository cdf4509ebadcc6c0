package org.banyanspoke.peer;

/** A request to a peer had no reply. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * @param message what went wrong, with the peer's address
     * @param sent whether the request may have reached the peer
     */
    public PeerException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /** As above, with the cause. */
    public PeerException(String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.sent = sent;
    }

    /** Returns whether the request may have reached the peer. */
    public boolean mayHaveArrived() {
        return sent;
    }
}
