package org.banyanspoke.core.config;

import org.banyanspoke.api.config.Ticket;

/**
 * An accepted ticket and the log offset of its record.
 *
 * <p>No other ticket is accepted between the records of tickets n-1 and n, so a receiver whose configuration is at n-1
 * can resume reading after this offset.
 *
 * @param ticket the ticket
 * @param offset offset of its record in the log
 */
public record AcceptedTicket(Ticket ticket, long offset) {}
