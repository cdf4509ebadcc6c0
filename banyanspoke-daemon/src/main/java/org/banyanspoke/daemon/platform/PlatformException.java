package org.banyanspoke.daemon.platform;

/** Thrown when a request to a platform service fails or has no valid response. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    /**
     * @param message failed request with its address, and the reason
     * @param mayHaveTakenEffect false only if the request was never sent or was rejected
     * @param cause the cause, or null
     */
    public PlatformException(String message, boolean mayHaveTakenEffect, Throwable cause) {
        super(message, cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns whether the request may have taken effect. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
