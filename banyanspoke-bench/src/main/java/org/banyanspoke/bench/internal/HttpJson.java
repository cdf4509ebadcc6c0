package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.banyanspoke.api.json.Json;

/** Blocking JSON requests to control and operators' ports on loopback. */
public final class HttpJson {
    private static final long LIMIT_MILLIS = 10_000;

    /**
     * A response.
     *
     * @param status HTTP status
     * @param body JSON body, or a null node
     */
    public record Answer(int status, JsonNode body) {}

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /**
     * Reads.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode get(int port, String path) throws IOException, InterruptedException {
        return success("GET", port, path, null);
    }

    /**
     * Sends a body.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode post(int port, String path, Object body) throws IOException, InterruptedException {
        return success("POST", port, path, body);
    }

    private JsonNode success(String method, int port, String path, Object body)
            throws IOException, InterruptedException {
        Answer answer = send(method, port, path, body, Setup.OPERATOR_TOKEN, LIMIT_MILLIS);
        if (answer.status() / 100 != 2) {
            throw new IOException("port " + port + " " + path + " answered " + answer.status() + ": " + answer.body());
        }
        return answer.body();
    }

    /**
     * Sends one request; never sends it again by itself.
     *
     * @param body null for none
     * @throws IOException if there is no response within the limit
     */
    public Answer send(String method, int port, String path, Object body, String token, long limitMillis)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(Json.mapper().writeValueAsBytes(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(limitMillis))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + token)
                .method(method, publisher)
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode json = response.body().isEmpty()
                ? NullNode.getInstance()
                : Json.mapper().readTree(response.body());
        return new Answer(response.statusCode(), json);
    }
}
