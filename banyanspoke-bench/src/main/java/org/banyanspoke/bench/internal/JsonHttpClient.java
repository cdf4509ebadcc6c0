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

/** Blocking HTTP client for JSON requests on the loopback interface. */
public final class JsonHttpClient {
    private static final long REQUEST_TIMEOUT_MILLIS = 10_000;

    /**
     * An HTTP response.
     *
     * @param status HTTP status
     * @param body JSON body, or a null node if it is empty
     */
    public record Response(int status, JsonNode body) {}

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /**
     * Sends a GET request.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode get(int port, String path) throws IOException, InterruptedException {
        return sendExpectingSuccess("GET", port, path, null);
    }

    /**
     * Sends a POST request.
     *
     * @throws IOException if there is no response or its status is not 2xx
     */
    JsonNode post(int port, String path, Object body) throws IOException, InterruptedException {
        return sendExpectingSuccess("POST", port, path, body);
    }

    private JsonNode sendExpectingSuccess(String method, int port, String path, Object body)
            throws IOException, InterruptedException {
        Response response = send(method, port, path, body, ClusterConfiguration.OPERATOR_TOKEN, REQUEST_TIMEOUT_MILLIS);
        if (response.status() / 100 != 2) {
            throw new IOException("port " + port + " " + path + " responded with status " + response.status() + ": "
                    + response.body());
        }
        return response.body();
    }

    /**
     * Sends a request without automatic retries.
     *
     * @param body request body; null to send none
     * @throws IOException if there is no response within the time-out
     */
    public Response send(String method, int port, String path, Object body, String token, long timeoutMillis)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(Json.mapper().writeValueAsBytes(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofMillis(timeoutMillis))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + token)
                .method(method, publisher)
                .build();
        HttpResponse<String> httpResponse = client.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode json = httpResponse.body().isEmpty()
                ? NullNode.getInstance()
                : Json.mapper().readTree(httpResponse.body());
        return new Response(httpResponse.statusCode(), json);
    }
}
