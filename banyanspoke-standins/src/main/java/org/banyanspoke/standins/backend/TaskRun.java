package org.banyanspoke.standins.backend;

import io.vertx.core.http.HttpServerRequest;

/** A task that waits or runs on a backend server. */
final class TaskRun {
    static final long NO_TIMER = -1;

    final HttpServerRequest request;
    final TaskKey key;
    final TaskPayload payload;
    boolean running;
    boolean ended;
    long runTimer = NO_TIMER;
    long leaseTimer = NO_TIMER;

    TaskRun(HttpServerRequest request, TaskKey key, TaskPayload payload) {
        this.request = request;
        this.key = key;
        this.payload = payload;
    }

    String result() {
        return payload.echo() == null ? key.taskId() : payload.echo();
    }
}
