package org.banyanspoke.daemon.control;

import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/**
 * What is known about a ticket after an append.
 *
 * @param state the outcome
 * @param number number of the ticket
 * @param message a sentence for people; lists every fault of an invalid ticket
 */
public record TicketOutcome(State state, long number, String message) {
    /** Possible outcomes. */
    public enum State {
        /** The ticket is part of the configuration. */
        ACCEPTED(null),
        /** Another ticket has the number. */
        CONFLICT(ErrorKind.TICKET_CONFLICT),
        /** The ticket breaks a rule and was not appended. */
        INVALID(ErrorKind.TICKET_INVALID),
        /** The append was sent and its result is not known. */
        UNKNOWN(ErrorKind.TICKET_OUTCOME_UNKNOWN),
        /** The log was not reached; the ticket was not appended. */
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
