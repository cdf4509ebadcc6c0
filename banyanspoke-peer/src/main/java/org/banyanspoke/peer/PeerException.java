package org.banyanspoke.peer;

/** Thrown when a request to a peer fails: no reply in time, an error reply, or an unusable connection. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveArrived;

    /**
     * @param message error message, with the peer's address
     * @param mayHaveArrived whether the request may have reached the peer
     */
    public PeerException(String message, boolean mayHaveArrived) {
        super(message);
        this.mayHaveArrived = mayHaveArrived;
    }

    /** Creates an exception with a cause. */
    public PeerException(String message, boolean mayHaveArrived, Throwable cause) {
        super(message, cause);
        this.mayHaveArrived = mayHaveArrived;
    }

    /** Returns whether the request may have reached the peer. */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
