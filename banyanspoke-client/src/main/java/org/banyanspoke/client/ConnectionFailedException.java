package org.banyanspoke.client;

/** Thrown when no entry host responds to a request. Whether the request took effect is unknown. */
public class ConnectionFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message has the address and the reason. */
    public ConnectionFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
