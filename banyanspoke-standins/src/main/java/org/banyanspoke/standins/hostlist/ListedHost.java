package org.banyanspoke.standins.hostlist;

/**
 * An entry of the host list.
 *
 * @param id host id
 * @param role {@code entry} or {@code backend}
 * @param state {@code live} or {@code leaving}
 */
public record ListedHost(String id, String role, String state) {}
