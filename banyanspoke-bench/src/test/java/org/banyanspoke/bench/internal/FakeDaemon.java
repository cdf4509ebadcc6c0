package org.banyanspoke.bench.internal;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.VertxFutures;

/** Fake entry host with a client-facing port and configurable behaviour. */
final class FakeDaemon {
    /** Response to a job submission. */
    enum Mode {
        COMPLETE,
        WITHOUT_LAST_TASK,
        SWAPPED_RESULTS,
        REFUSE,
        DRAIN,
        CLOSE
    }

    final AtomicInteger submissions = new AtomicInteger();
    volatile Mode mode = Mode.COMPLETE;
    volatile long delayMillis = 1;
    volatile boolean ready = true;
    private final Vertx vertx;
    private final HttpServer server;

    FakeDaemon(Vertx vertx) throws IOException, InterruptedException {
        this.vertx = vertx;
        server = Deployments.await(
                vertx.createHttpServer().requestHandler(this::receive).listen(0, "127.0.0.1"));
    }

    int port() {
        return server.actualPort();
    }

    private void receive(HttpServerRequest request) {
        if (request.path().equals("/health/ready")) {
            VertxFutures.ignoreFailure(
                    request.response().setStatusCode(ready ? 200 : 503).end());
            return;
        }
        request.body().onSuccess(body -> vertx.setTimer(delayMillis, timer -> respond(request, body)));
    }

    private void respond(HttpServerRequest request, Buffer body) {
        if (request.path().endsWith("/job-ids")) {
            VertxFutures.ignoreFailure(request.response().end("{\"jobIds\":[\"j1\",\"j2\",\"j3\"]}"));
            return;
        }
        submissions.incrementAndGet();
        switch (mode) {
            case REFUSE ->
                VertxFutures.ignoreFailure(
                        request.response().setStatusCode(503).end("{\"error\":{\"kind\":\"OVERLOADED\"}}"));
            case DRAIN ->
                VertxFutures.ignoreFailure(
                        request.response().setStatusCode(503).end("{\"error\":{\"kind\":\"DRAINING\"}}"));
            case CLOSE -> VertxFutures.ignoreFailure(request.connection().close());
            default -> VertxFutures.ignoreFailure(request.response().end(completeResponse(body)));
        }
    }

    private String completeResponse(Buffer body) {
        try {
            JobRequest job = Json.mapper().readValue(body.getBytes(), JobRequest.class);
            List<Map<String, String>> tasks = new ArrayList<>();
            job.tasks()
                    .forEach(task -> tasks.add(Map.of(
                            "id",
                            task.id().value(),
                            "result",
                            mode == Mode.SWAPPED_RESULTS ? "other" : task.id().value())));
            if (mode == Mode.WITHOUT_LAST_TASK) {
                tasks.remove(tasks.size() - 1);
            }
            return Json.mapper().writeValueAsString(Map.of("state", "complete", "tasks", tasks));
        } catch (IOException e) {
            throw new IllegalStateException("request body is not a job", e);
        }
    }
}
