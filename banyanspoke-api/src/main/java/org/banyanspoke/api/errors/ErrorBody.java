package org.banyanspoke.api.errors;

/**
 * The error part of an answer.
 *
 * @param kind one of the closed list
 * @param execution what is known about execution
 * @param message a sentence for people
 */
public record ErrorBody(ErrorKind kind, Execution execution, String message) {
    /** Returns the body for an exception. */
    public static ErrorBody of(DispatchException e) {
        return new ErrorBody(e.kind(), e.kind().execution(), e.getMessage());
    }
}
