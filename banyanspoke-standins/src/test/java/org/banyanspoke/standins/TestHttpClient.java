package org.banyanspoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanspoke.api.json.Json;

/** Blocking and asynchronous HTTP requests to simulators on loopback. */
public final class TestHttpClient {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a GET request; {@code headers} are alternating names and values. */
    public HttpResponse<String> get(int port, String path, String... headers) throws IOException, InterruptedException {
        HttpRequest.Builder request = request(port, path).GET();
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public JsonNode getJson(int port, String path) throws IOException, InterruptedException {
        return Json.mapper().readTree(get(port, path).body());
    }

    public HttpResponse<String> post(int port, String path, String body) throws IOException, InterruptedException {
        return client.send(postRequest(port, path, body).build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> delete(int port, String path) throws IOException, InterruptedException {
        return client.send(request(port, path).DELETE().build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Submits a task; {@code headers} are alternating names and values, which override the defaults. */
    public CompletableFuture<HttpResponse<String>> submitTask(
            int port, String attempt, String body, String... headers) {
        HttpRequest.Builder request = postRequest(port, "/tasks/" + attempt, body)
                .header("Task-Id", "t-" + attempt)
                .header("Job-Id", "j");
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder postRequest(int port, String path, String body) {
        return request(port, path).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(5));
    }
}
