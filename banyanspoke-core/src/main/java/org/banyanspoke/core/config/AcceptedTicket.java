package org.banyanspoke.core.config;

import org.banyanspoke.api.config.Ticket;

/**
 * A ticket with the position at which it was accepted.
 *
 * <p>The offset matters to receivers: between the records of tickets n-1 and n no other ticket was accepted, so a
 * receiver at n-1 may continue reading after this offset.
 *
 * @param ticket the ticket
 * @param offset offset of its record in the log
 */
public record AcceptedTicket(Ticket ticket, long offset) {}
