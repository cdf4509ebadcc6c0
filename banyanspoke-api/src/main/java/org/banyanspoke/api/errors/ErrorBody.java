package org.banyanspoke.api.errors;

/**
 * The {@code error} object of a response.
 *
 * @param kind the error kind
 * @param execution whether tasks of the request may have run
 * @param message human-readable description
 */
public record ErrorBody(ErrorKind kind, Execution execution, String message) {
    /** Returns the error body that describes an exception. */
    public static ErrorBody of(DispatchException e) {
        return new ErrorBody(e.kind(), e.kind().execution(), e.getMessage());
    }
}
