package org.banyanspoke.core.config;

import java.util.List;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/** Thrown when a ticket violates validation rules. Carries all faults, not only the first. */
public final class InvalidTicketException extends DispatchException {
    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /**
     * @param faults one sentence for each violated rule, at least one
     */
    public InvalidTicketException(List<String> faults) {
        super(ErrorKind.TICKET_INVALID, String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns one sentence for each violated rule. */
    public List<String> faults() {
        return faults;
    }
}
