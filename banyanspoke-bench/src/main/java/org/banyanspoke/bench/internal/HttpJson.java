package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.banyanspoke.api.json.Json;

/** Blocking JSON requests to control and operators' ports on loopback. */
final class HttpJson {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Reads.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode get(int port, String path) throws IOException, InterruptedException {
        return send(request(port, path).GET().build());
    }

    /**
     * Sends a body.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode post(int port, String path, Object body) throws IOException, InterruptedException {
        String text = Json.mapper().writeValueAsString(body);
        return send(request(port, path)
                .POST(HttpRequest.BodyPublishers.ofString(text))
                .build());
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(LIMIT)
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + Setup.OPERATOR_TOKEN);
    }

    private JsonNode send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() / 100 != 2) {
            throw new IOException(request.uri() + " answered " + response.statusCode() + ": " + response.body());
        }
        return response.body().isEmpty()
                ? Json.mapper().createObjectNode()
                : Json.mapper().readTree(response.body());
    }
}
