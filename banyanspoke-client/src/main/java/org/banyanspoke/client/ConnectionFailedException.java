package org.banyanspoke.client;

/** No entry host gave an answer to a request. Whether the request took effect is not known. */
public class ConnectionFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the address and the reason in the message. */
    public ConnectionFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
