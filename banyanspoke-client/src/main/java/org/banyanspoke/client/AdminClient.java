package org.banyanspoke.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.errors.DispatchException;

/** Client of the admin API of one entry host. */
public final class AdminClient {
    private static final String PREFIX = "/v1/admin/";
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EntryHostClient client;

    /** Creates a client that sends to the first address of the entry host client. */
    public AdminClient(EntryHostClient client) {
        this.client = client;
    }

    /**
     * Reads a resource.
     *
     * @param resource path below {@code /v1/admin/}, such as {@code status} or {@code tickets/7}
     * @throws DispatchException if the entry host refuses the request
     * @throws ConnectionFailedException if the entry host does not respond
     */
    public JsonNode get(String resource) throws DispatchException, ConnectionFailedException {
        return client.send(0, HttpMethod.GET, PREFIX + resource, null, TIMEOUT_MILLIS)
                .successBody();
    }

    /**
     * Sends a change ticket. The same ticket may be sent again after any failure: its number and id ensure that it is
     * accepted only once.
     *
     * @throws DispatchException whose kind is the reason for the rejection, or states that the outcome is unknown
     * @throws ConnectionFailedException if the entry host does not respond
     */
    public JsonNode send(Ticket ticket) throws DispatchException, ConnectionFailedException {
        return client.send(0, HttpMethod.POST, PREFIX + "tickets", ticket, TIMEOUT_MILLIS)
                .successBody();
    }

    /**
     * Starts the graceful shutdown of the entry host.
     *
     * @throws DispatchException if the entry host refuses the request
     * @throws ConnectionFailedException if the entry host does not respond
     */
    public void drain() throws DispatchException, ConnectionFailedException {
        client.send(0, HttpMethod.POST, PREFIX + "drain", null, TIMEOUT_MILLIS).successBody();
    }
}
