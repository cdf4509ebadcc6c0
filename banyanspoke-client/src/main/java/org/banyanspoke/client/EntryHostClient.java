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
 * Sends HTTP requests with a bearer token to one or more entry hosts. Thread-safe. A request goes to one address and is
 * not retried here, because only the caller knows whether a retry is safe.
 */
public final class EntryHostClient implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final WebClient webClient;
    private final List<String> addresses;
    private final String token;

    /**
     * @param addresses {@code ip:port} of at least one entry host, all for the caller API or all for the admin
     *     API; tried in this order
     * @param token bearer token
     * @throws IllegalArgumentException if there is no address or one is not {@code ip:port}
     */
    public EntryHostClient(List<String> addresses, String token) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no entry host address given");
        }
        for (String address : addresses) {
            if (!address.matches("[0-9.]+:[0-9]{1,5}")) {
                throw new IllegalArgumentException("\"" + address + "\" is not a valid address, expected ip:port");
            }
        }
        this.addresses = List.copyOf(addresses);
        this.token = token;
        this.vertx = Vertx.vertx();
        this.webClient =
                WebClient.create(vertx, new WebClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT_MILLIS));
    }

    /** Returns the number of entry host addresses. */
    int addressCount() {
        return addresses.size();
    }

    /**
     * Sends one request to one address.
     *
     * @param index index of the address, modulo the number of addresses
     * @param body object to send as JSON, or null for no body
     * @param timeoutMillis time-out of the request until the complete response is received, in milliseconds
     * @throws ConnectionFailedException if no complete JSON response is received within the time-out
     */
    Response send(int index, HttpMethod method, String path, Object body, long timeoutMillis)
            throws ConnectionFailedException {
        String address = addresses.get(Math.floorMod(index, addresses.size()));
        int colon = address.indexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        HttpRequest<Buffer> request = webClient
                .request(
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
            throw new ConnectionFailedException("no response from " + address + ": " + cause.getMessage(), cause);
        } catch (JsonProcessingException e) {
            throw new ConnectionFailedException("the response of " + address + " is not valid JSON", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionFailedException("interrupted while waiting for the response of " + address, e);
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
