package org.banyanspoke.daemon.control;

import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/**
 * Result of appending a ticket.
 *
 * @param state the outcome
 * @param number number of the ticket
 * @param message human-readable message; lists every error of an invalid ticket
 */
public record TicketOutcome(State state, long number, String message) {
    /** Possible outcomes. */
    public enum State {
        /** The ticket is part of the configuration. */
        ACCEPTED(null),
        /** Another ticket has the number. */
        CONFLICT(ErrorKind.TICKET_CONFLICT),
        /** The ticket failed validation and was not appended. */
        INVALID(ErrorKind.TICKET_INVALID),
        /** The append was sent, but its result is unknown. */
        UNKNOWN(ErrorKind.TICKET_OUTCOME_UNKNOWN),
        /** The log could not be reached; the ticket was not appended. */
        LOG_UNAVAILABLE(ErrorKind.LOG_UNAVAILABLE);

        private final ErrorKind kind;

        State(ErrorKind kind) {
            this.kind = kind;
        }
    }

    /**
     * Returns this outcome if the ticket was accepted.
     *
     * @throws DispatchException with the kind of the outcome otherwise
     */
    public TicketOutcome orThrow() throws DispatchException {
        if (state.kind != null) {
            throw new DispatchException(state.kind, message);
        }
        return this;
    }
}
