package org.banyanspoke.daemon.platform;

/** A request to a service of the platform had no usable answer. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * @param message what went wrong, with the address
     * @param sent whether the request may have taken effect; false only if it was never written or was refused
     * @param cause the cause, or null
     */
    public PlatformException(String message, boolean sent, Throwable cause) {
        super(message, cause);
        this.sent = sent;
    }

    /** Returns whether the request may have taken effect. */
    public boolean mayHaveTakenEffect() {
        return sent;
    }
}
