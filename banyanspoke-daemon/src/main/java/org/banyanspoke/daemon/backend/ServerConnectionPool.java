package org.banyanspoke.daemon.backend;

import com.google.common.net.HostAndPort;
import io.vertx.core.Context;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/** Connection pool of one backend server, with the attempts that use a connection or wait for one. */
final class ServerConnectionPool {
    /** A server accepts 64 connections and is assigned to at most 8 hosts (design 2.3). */
    static final int MAX_CONNECTIONS = 8;

    /** A network round trip takes less than 1 ms, so a server that has not accepted by then counts as unreachable. */
    static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Response timeout of a health check (design 2.3). */
    static final long HEALTH_TIMEOUT_NANOS = 1_000_000_000L;

    /** Idle time after which a connection has to pass a health check before reuse (design 2.3). */
    static final long IDLE_CHECK_AFTER_NANOS = 15_000_000_000L;

    /** A request becomes suspect after max(4 x expected service time, 2 s) without a response (design 2.3). */
    static final long MIN_SUSPECT_NANOS = 2_000_000_000L;

    private static final int SUSPECT_FACTOR = 4;

    /** Weight of a new sample in the moving average of service times; its time constant is about 8 samples. */
    private static final double MEAN_SAMPLE_WEIGHT = 0.125;

    private static final EventLog LOG = EventLog.of(ServerConnectionPool.class);

    private final ServerId server;
    private final HttpConnectOptions target;
    private final HttpClientAgent client;
    private final Context dispatchThread;
    private final MonotonicClock clock;

    private final List<ServerConnection> open = new ArrayList<>();
    private final Deque<ServerConnection> idle = new ArrayDeque<>();
    private final Deque<Attempt> waiting = new ArrayDeque<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<ServerConnection, Long> healthDeadlinesNanos = new HashMap<>();
    private int opening;
    private boolean probing;
    private boolean retired;
    private boolean closed;
    private double meanServiceNanos;

    ServerConnectionPool(
            ServerId server,
            HostAndPort address,
            HttpClientAgent client,
            Context dispatchThread,
            MonotonicClock clock) {
        this.server = server;
        this.target = new HttpConnectOptions()
                .setHost(address.getHost())
                .setPort(address.getPort())
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        this.client = client;
        this.dispatchThread = dispatchThread;
        this.clock = clock;
    }

    /** Queues the attempt for the next free connection. */
    void start(Attempt attempt) {
        attempts.put(attempt.id(), attempt);
        waiting.add(attempt);
        sendWaiting();
    }

    /** Removes a waiting attempt from the queue, or requests the server to stop one that was sent. */
    void stop(long attemptId) {
        Attempt attempt = attempts.get(attemptId);
        if (attempt == null) {
            return;
        }
        if (attempt.connection() == null) {
            waiting.remove(attempt);
            dispatchThread.runOnContext(
                    unused -> end(attempt, ServerReply.notWritten("stopped before the request was sent")));
            return;
        }
        stopRunning(attempt);
    }

    /**
     * Sends a stop request on an idle connection, or on a new one within the limit. Otherwise discards it: behind task
     * requests it would arrive too late, and the task ends anyway when its lease expires.
     */
    private void stopRunning(Attempt attempt) {
        ServerConnection connection = acquireIdle();
        if (connection != null) {
            sendStop(connection, attempt);
        } else if (!retired && open.size() + opening < MAX_CONNECTIONS) {
            openForStop(attempt);
        }
    }

    private void openForStop(Attempt attempt) {
        opening++;
        client.connect(target).onComplete(result -> {
            opening--;
            if (result.succeeded()) {
                sendStop(register(result.result()), attempt);
            }
            sendWaiting();
        });
    }

    /** Ends attempts with an expired lease, times out health checks and probes the server if a response is overdue. */
    void tick() {
        long nowNanos = clock.nanos();
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isOverdue(nowNanos)) {
                expire(attempt);
            } else if (attempt.connection() != null && isSuspect(attempt, nowNanos) && attempt.markSuspect()) {
                probe();
            }
        }
        for (Map.Entry<ServerConnection, Long> entry : List.copyOf(healthDeadlinesNanos.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                entry.getKey().close("health check or stop request timed out");
            }
        }
    }

    /** Closes idle connections now and busy ones after their exchange. Called when the server or address is removed. */
    void retire() {
        retired = true;
        closeIdle(connection -> true);
    }

    /** Returns whether no attempt is pending and no connection is open or being opened. */
    boolean isIdle() {
        return attempts.isEmpty() && open.isEmpty() && opening == 0;
    }

    /** Closes all connections and opens no new ones. Attempts already sent end as {@code UNKNOWN}. */
    void close() {
        retired = true;
        closed = true;
        List.copyOf(open).forEach(connection -> connection.close("process is shutting down"));
    }

    private void sendWaiting() {
        while (!waiting.isEmpty()) {
            ServerConnection connection = acquireIdle();
            if (connection == null) {
                openIfNeeded();
                return;
            }
            sendTask(connection, waiting.poll());
        }
    }

    private void sendTask(ServerConnection connection, Attempt attempt) {
        attempt.setConnection(connection);
        connection.send(attempt.request(), reply -> onTaskReply(connection, attempt, reply));
    }

    private void onTaskReply(ServerConnection connection, Attempt attempt, ServerReply reply) {
        if (reply.state() == ServerReply.State.RECEIVED) {
            if (attempt.isResponseFor(reply)) {
                updateMeanServiceTime(clock.nanos() - attempt.startedNanos());
            } else {
                connection.close("response belongs to another attempt");
            }
        }
        release(connection);
        sendWaiting();
        end(attempt, reply);
    }

    private void sendStop(ServerConnection connection, Attempt attempt) {
        if (attempt.hasEnded()) {
            release(connection);
            return;
        }
        sendWithHealthTimeout(connection, attempt.stopRequest(), reply -> {});
    }

    /** Sends a request that a healthy server answers immediately, with the timeout of a health check. */
    private void sendWithHealthTimeout(ServerConnection connection, ServerRequest request, Consumer<ServerReply> then) {
        healthDeadlinesNanos.put(connection, clock.nanos() + HEALTH_TIMEOUT_NANOS);
        connection.send(request, reply -> {
            healthDeadlinesNanos.remove(connection);
            release(connection);
            then.accept(reply);
            sendWaiting();
        });
    }

    private void end(Attempt attempt, ServerReply reply) {
        attempts.remove(attempt.id());
        attempt.end(reply, clock.nanos());
    }

    private void release(ServerConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        if (retired) {
            connection.close("server or its address is no longer configured");
            return;
        }
        connection.markUsed(clock.nanos());
        idle.push(connection);
    }

    /** Returns the most recently used connection, so that surplus ones age. Starts a check of those idle too long. */
    private ServerConnection acquireIdle() {
        while (!idle.isEmpty()) {
            ServerConnection connection = idle.pop();
            if (!connection.isOpen()) {
                continue;
            }
            if (clock.nanos() - connection.lastUsedNanos() < IDLE_CHECK_AFTER_NANOS) {
                return connection;
            }
            sendWithHealthTimeout(connection, ServerRequest.health(), reply -> closeUnlessHealthy(connection, reply));
        }
        return null;
    }

    private void closeUnlessHealthy(ServerConnection connection, ServerReply reply) {
        if (!isHealthy(reply)) {
            idle.remove(connection);
            connection.close("health check failed");
        }
    }

    private static boolean isHealthy(ServerReply reply) {
        return reply.state() == ServerReply.State.RECEIVED && reply.status() == 200;
    }

    private void openIfNeeded() {
        while (!closed && opening < waiting.size() && open.size() + opening < MAX_CONNECTIONS) {
            open(connection -> {
                idle.push(connection);
                sendWaiting();
            });
        }
    }

    private void open(Consumer<ServerConnection> onOpen) {
        opening++;
        client.connect(target).onComplete(result -> {
            opening--;
            if (result.succeeded()) {
                onOpen.accept(register(result.result()));
            } else {
                onConnectFailed(result.cause());
            }
        });
    }

    private ServerConnection register(HttpClientConnection connection) {
        ServerConnection registered = new ServerConnection(connection, dispatchThread, clock.nanos(), this::onClosed);
        open.add(registered);
        return registered;
    }

    /** Ends one waiting attempt, because each connection is opened for one waiting attempt. */
    private void onConnectFailed(Throwable cause) {
        Attempt attempt = waiting.poll();
        if (attempt != null) {
            end(attempt, ServerReply.notWritten("connection failed: " + cause.getMessage()));
        }
        sendWaiting();
    }

    private void onClosed(ServerConnection connection) {
        open.remove(connection);
        idle.remove(connection);
        healthDeadlinesNanos.remove(connection);
        sendWaiting();
    }

    private void expire(Attempt attempt) {
        if (attempt.connection() == null) {
            waiting.remove(attempt);
            attempts.remove(attempt.id());
            attempt.end(Outcome.NOT_SENT, "lease expired while waiting for a free connection", clock.nanos());
            return;
        }
        attempt.connection().close("lease expired before a response arrived");
    }

    private boolean isSuspect(Attempt attempt, long nowNanos) {
        double expectedNanos = Math.max(meanServiceNanos, attempt.declaredMillis() * 1e6);
        double limitNanos = Math.max(SUSPECT_FACTOR * expectedNanos, MIN_SUSPECT_NANOS);
        return nowNanos - attempt.startedNanos() > limitNanos;
    }

    private void updateMeanServiceTime(long serviceNanos) {
        meanServiceNanos += MEAN_SAMPLE_WEIGHT * (serviceNanos - meanServiceNanos);
    }

    /** Sends a health check on a new connection; if it succeeds, closes the idle connections opened before it. */
    private void probe() {
        if (probing || !ensureCapacityForProbe()) {
            return;
        }
        probing = true;
        LOG.event(Logger.Level.INFO, "response overdue; sending a health check on a new connection")
                .with("server", server)
                .write();
        opening++;
        client.connect(target).onComplete(result -> {
            opening--;
            if (result.failed()) {
                probing = false;
                return;
            }
            ServerConnection probed = register(result.result());
            sendWithHealthTimeout(probed, ServerRequest.health(), reply -> onProbeReply(probed, reply));
        });
    }

    /**
     * Closes an idle connection if the limit is reached, as a successful probe replaces the idle ones anyway. Returns
     * false if there are no idle connections to replace.
     */
    private boolean ensureCapacityForProbe() {
        if (idle.isEmpty()) {
            return false;
        }
        if (open.size() + opening >= MAX_CONNECTIONS) {
            idle.removeLast().close("replaced by a new connection");
        }
        return true;
    }

    private void onProbeReply(ServerConnection probed, ServerReply reply) {
        probing = false;
        closeUnlessHealthy(probed, reply);
        if (isHealthy(reply)) {
            closeIdle(connection -> connection.openedNanos() - probed.openedNanos() < 0);
        }
    }

    private void closeIdle(java.util.function.Predicate<ServerConnection> condition) {
        for (ServerConnection connection : List.copyOf(idle)) {
            if (condition.test(connection)) {
                idle.remove(connection);
                connection.close("idle connection replaced or no longer needed");
            }
        }
    }
}
