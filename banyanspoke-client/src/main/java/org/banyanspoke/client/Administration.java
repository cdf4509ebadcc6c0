package org.banyanspoke.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.errors.DispatchException;

/** Requests to the operators' port of one entry host. */
public final class Administration {
    private static final String PREFIX = "/v1/admin/";
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EntryHosts hosts;

    /** Creates requests that go to the first address. */
    public Administration(EntryHosts hosts) {
        this.hosts = hosts;
    }

    /**
     * Reads a resource.
     *
     * @param resource path below {@code /v1/admin/}, such as {@code status} or {@code tickets/7}
     * @throws DispatchException if the entry host refuses
     * @throws ConnectionFailedException if it does not answer
     */
    public JsonNode get(String resource) throws DispatchException, ConnectionFailedException {
        return hosts.send(0, HttpMethod.GET, PREFIX + resource, null, TIMEOUT_MILLIS)
                .success();
    }

    /**
     * Sends a change ticket. The same ticket may be sent again after any failure: its number and id keep it from being
     * accepted twice.
     *
     * @throws DispatchException with the kind that says why it was not accepted, or that the outcome is unknown
     * @throws ConnectionFailedException if the entry host does not answer
     */
    public JsonNode send(Ticket ticket) throws DispatchException, ConnectionFailedException {
        return hosts.send(0, HttpMethod.POST, PREFIX + "tickets", ticket, TIMEOUT_MILLIS)
                .success();
    }

    /**
     * Starts the graceful shutdown of the entry host.
     *
     * @throws DispatchException if it refuses
     * @throws ConnectionFailedException if it does not answer
     */
    public void drain() throws DispatchException, ConnectionFailedException {
        hosts.send(0, HttpMethod.POST, PREFIX + "drain", null, TIMEOUT_MILLIS).success();
    }
}
