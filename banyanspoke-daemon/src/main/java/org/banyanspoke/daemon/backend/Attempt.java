package org.banyanspoke.daemon.backend;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.function.Consumer;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.TaskAttempt;

/** State of one task attempt, from its start until its result is delivered. The result is delivered exactly once. */
final class Attempt {
    private static final int OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    private final TaskAttempt task;
    private final long startedNanos;
    private final long deadlineNanos;
    private Consumer<AttemptResult> onEnd;
    private ServerConnection connection;
    private boolean suspect;

    Attempt(TaskAttempt task, long startedNanos, Consumer<AttemptResult> onEnd) {
        this.task = task;
        this.startedNanos = startedNanos;
        this.deadlineNanos = startedNanos + task.leaseMillis() * 1_000_000;
        this.onEnd = onEnd;
    }

    long id() {
        return task.attemptId();
    }

    long declaredMillis() {
        return task.task().declaredMillis();
    }

    long startedNanos() {
        return startedNanos;
    }

    boolean isOverdue(long nowNanos) {
        return nowNanos - deadlineNanos >= 0;
    }

    boolean hasEnded() {
        return onEnd == null;
    }

    /** Returns the connection that carries the request, or null while the attempt waits for one. */
    ServerConnection connection() {
        return connection;
    }

    void setConnection(ServerConnection connection) {
        this.connection = connection;
    }

    /** Marks the attempt as suspect. Returns true on the first call only. */
    boolean markSuspect() {
        boolean first = !suspect;
        suspect = true;
        return first;
    }

    ServerRequest request() {
        String payload = task.task().payload();
        Map<String, String> headers = Map.of(
                "Task-Id", task.task().id().value(),
                "Task-Attempt", wireId(),
                "Task-Lease-Millis", Long.toString(task.leaseMillis()),
                "Task-Declared-Millis", Long.toString(task.task().declaredMillis()),
                "Task-Idempotent", Boolean.toString(task.task().idempotent()),
                "Job-Id", task.job().toString());
        return new ServerRequest(
                HttpMethod.POST, path(), headers, payload == null ? Buffer.buffer() : Buffer.buffer(payload));
    }

    ServerRequest stopRequest() {
        return new ServerRequest(HttpMethod.DELETE, path(), Map.of(), null);
    }

    /** Returns whether the response carries the id of this attempt. */
    boolean isResponseFor(ServerReply reply) {
        return wireId().equals(reply.headers().get("Task-Attempt"));
    }

    /** Ends the attempt with the outcome of its HTTP exchange. No effect if it has ended. */
    void end(ServerReply reply, long nowNanos) {
        switch (reply.state()) {
            case NOT_WRITTEN -> end(Outcome.NOT_SENT, reply.message(), nowNanos);
            case NO_RESPONSE -> end(Outcome.UNKNOWN, reply.message(), nowNanos);
            case RECEIVED -> endWithResponse(reply, nowNanos);
        }
    }

    /** Ends the attempt without a usable response. No effect if it has ended. */
    void end(Outcome outcome, String message, long nowNanos) {
        deliver(new AttemptResult(outcome, message, nowNanos - startedNanos, null, false, null));
    }

    private void endWithResponse(ServerReply reply, long nowNanos) {
        if (!isResponseFor(reply)) {
            String echoed = reply.headers().get("Task-Attempt");
            end(Outcome.UNKNOWN, "response belongs to attempt " + echoed + ", not to " + wireId(), nowNanos);
            return;
        }
        boolean notStarted = "false".equalsIgnoreCase(reply.headers().get("Task-Started"));
        Outcome outcome = outcome(reply.status(), notStarted);
        String body = reply.body().toString();
        deliver(new AttemptResult(
                outcome,
                outcome == Outcome.DONE ? body : "HTTP status " + reply.status() + ": " + body,
                nowNanos - startedNanos,
                LoadReportParser.parse(reply.headers().get(LoadReportParser.HEADER)),
                "leaving".equalsIgnoreCase(reply.headers().get("Server-State")),
                reply.headers().get("Server-Incarnation")));
    }

    /** Maps a response status to an outcome. A status not listed in docs/api.md leaves the outcome unknown. */
    private static Outcome outcome(int status, boolean notStarted) {
        if (status == OK) {
            return Outcome.DONE;
        }
        if (status < FIRST_SERVER_ERROR) {
            return Outcome.UNKNOWN;
        }
        return notStarted ? Outcome.REFUSED_BY_SERVER : Outcome.FAILED;
    }

    private void deliver(AttemptResult result) {
        Consumer<AttemptResult> callback = onEnd;
        if (callback != null) {
            onEnd = null;
            callback.accept(result);
        }
    }

    private String path() {
        return "/tasks/" + wireId();
    }

    /** Returns the id sent to the server. Several processes use a server, and attempt ids are unique per process. */
    private String wireId() {
        return task.job().incarnation() + "-" + task.attemptId();
    }
}
