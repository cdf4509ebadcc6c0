package org.banyanspoke.scenarios.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.banyanspoke.api.json.Json;

/** Blocking JSON requests to a port on loopback. */
final class Http {
    /**
     * An answer.
     *
     * @param status HTTP status
     * @param body JSON body, or a null node
     */
    record Answer(int status, JsonNode body) {}

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** Sends one request; never sends it again by itself. */
    Answer send(String method, int port, String path, Object body, String token, long limitMillis)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(Json.mapper().writeValueAsBytes(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(limitMillis))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json")
                .method(method, publisher)
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode json = response.body().isEmpty()
                ? NullNode.getInstance()
                : Json.mapper().readTree(response.body());
        return new Answer(response.statusCode(), json);
    }
}
