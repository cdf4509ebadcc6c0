package org.banyanspoke.standins.backend;

import io.vertx.core.http.HttpServerRequest;

/** Queued or running task attempt on a backend server. */
final class TaskRun {
    static final long NO_TIMER = -1;

    final HttpServerRequest request;
    final TaskAttemptId id;
    final TaskPayload payload;
    boolean running;
    boolean ended;
    long runTimer = NO_TIMER;
    long leaseTimer = NO_TIMER;

    TaskRun(HttpServerRequest request, TaskAttemptId id, TaskPayload payload) {
        this.request = request;
        this.id = id;
        this.payload = payload;
    }

    String result() {
        return payload.echo() == null ? id.taskId() : payload.echo();
    }
}
