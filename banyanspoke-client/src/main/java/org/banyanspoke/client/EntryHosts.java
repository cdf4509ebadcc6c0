package org.banyanspoke.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.banyanspoke.api.json.Json;

/**
 * The entry hosts that a client talks to, and the token it shows them. Thread safe. Each send goes to one address; the
 * commands decide whether another try is allowed.
 */
public final class EntryHosts implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final WebClient http;
    private final List<String> addresses;
    private final String token;

    /**
     * @param addresses {@code ip:port} of one port kind, at least one, tried in this order
     * @param token bearer token
     * @throws IllegalArgumentException if there is no address or one is not {@code ip:port}
     */
    public EntryHosts(List<String> addresses, String token) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no entry host address is given");
        }
        for (String address : addresses) {
            if (!address.matches("[0-9.]+:[0-9]{1,5}")) {
                throw new IllegalArgumentException("\"" + address + "\" is not ip:port");
            }
        }
        this.addresses = List.copyOf(addresses);
        this.token = token;
        this.vertx = Vertx.vertx();
        this.http = WebClient.create(vertx, new WebClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT_MILLIS));
    }

    /** Returns the number of addresses. */
    int size() {
        return addresses.size();
    }

    /**
     * Sends one request to one address.
     *
     * @param index position of the address, taken modulo the number of addresses
     * @param body object to send as JSON, or null
     * @param timeoutMillis time for the whole exchange in milliseconds
     * @throws ConnectionFailedException if no complete answer came in time
     */
    Response send(int index, HttpMethod method, String path, Object body, long timeoutMillis)
            throws ConnectionFailedException {
        String address = addresses.get(Math.floorMod(index, addresses.size()));
        int colon = address.indexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        HttpRequest<Buffer> request = http.request(
                        method,
                        SocketAddress.inetSocketAddress(port, address.substring(0, colon)),
                        port,
                        address.substring(0, colon),
                        path)
                .timeout(timeoutMillis)
                .bearerTokenAuthentication(token);
        try {
            HttpResponse<Buffer> response = (body == null
                            ? request.send()
                            : request.putHeader("Content-Type", "application/json")
                                    .sendBuffer(Buffer.buffer(Json.mapper().writeValueAsBytes(body))))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(timeoutMillis + CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return new Response(response.statusCode(), parse(response.body()));
        } catch (ExecutionException | TimeoutException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw new ConnectionFailedException("no answer from " + address + ": " + cause.getMessage(), cause);
        } catch (JsonProcessingException e) {
            throw new ConnectionFailedException("the answer of " + address + " is not JSON", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionFailedException("interrupted while waiting for " + address, e);
        }
    }

    private static JsonNode parse(Buffer body) throws JsonProcessingException {
        if (body == null || body.length() == 0) {
            return NullNode.getInstance();
        }
        return Json.mapper().readTree(body.toString());
    }

    @Override
    public void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
