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

/** The connections to one backend server, with the attempts that use them or wait for one. */
final class ServerConnections {
    /** Design 2.3: a server accepts 64 connections and has at most 8 sharers. */
    static final int MAX_CONNECTIONS = 8;

    /** A round trip takes under 1 ms; a listener that does not answer in this time is as good as down. */
    static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Design 2.3. */
    static final long HEALTH_TIMEOUT_NANOS = 1_000_000_000L;

    /** Design 2.3. */
    static final long IDLE_CHECK_NANOS = 15_000_000_000L;

    /** Design 2.3: a request is suspect after max(4 x expected time, 2 s). */
    static final long MIN_SUSPICION_NANOS = 2_000_000_000L;

    private static final int SUSPICION_FACTOR = 4;

    /** Weight of a new sample in the running mean of service times; about the last 8 samples count. */
    private static final double MEAN_WEIGHT = 0.125;

    private static final EventLog LOG = EventLog.of(ServerConnections.class);

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

    ServerConnections(
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

    /** Sends the attempt on the next free connection. */
    void start(Attempt attempt) {
        attempts.put(attempt.id(), attempt);
        waiting.add(attempt);
        serve();
    }

    /** Drops a waiting attempt, or asks the server to stop a sent one. */
    void stop(long attemptId) {
        Attempt attempt = attempts.get(attemptId);
        if (attempt == null) {
            return;
        }
        if (attempt.connection() == null) {
            waiting.remove(attempt);
            dispatchThread.runOnContext(unused -> end(attempt, ServerReply.notWritten("stopped before it was sent")));
            return;
        }
        stopRunning(attempt);
    }

    /**
     * Sends a stop on a free connection, or on a new one within the limit. Otherwise the stop is dropped: behind task requests
     * it would come too late, and the lease ends the task anyway.
     */
    private void stopRunning(Attempt attempt) {
        ServerConnection connection = takeIdle();
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
                sendStop(adopt(result.result()), attempt);
            }
            serve();
        });
    }

    /** Ends overdue attempts and health requests and looks for silent connections. */
    void tick() {
        long nowNanos = clock.nanos();
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isOverdue(nowNanos)) {
                expire(attempt);
            } else if (attempt.connection() != null && isSuspect(attempt, nowNanos) && attempt.markSuspected()) {
                probe();
            }
        }
        for (Map.Entry<ServerConnection, Long> entry : List.copyOf(healthDeadlinesNanos.entrySet())) {
            if (nowNanos - entry.getValue() >= 0) {
                entry.getKey().close("no response to the health request in time");
            }
        }
    }

    /** Closes idle connections now and busy ones when their exchange ends. The server is no longer configured. */
    void retire() {
        retired = true;
        closeIdle(connection -> true);
    }

    /** Returns whether nothing is left to wait for. */
    boolean isIdle() {
        return attempts.isEmpty() && open.isEmpty() && opening == 0;
    }

    /** Closes all connections and opens none for what waits. Sent attempts end as {@code UNKNOWN}. */
    void close() {
        retired = true;
        closed = true;
        List.copyOf(open).forEach(connection -> connection.close("the process stops"));
    }

    private void serve() {
        while (!waiting.isEmpty()) {
            ServerConnection connection = takeIdle();
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
            if (attempt.isEchoedBy(reply)) {
                learn(clock.nanos() - attempt.startedNanos());
            } else {
                connection.close("the response belongs to another attempt");
            }
        }
        release(connection);
        serve();
        end(attempt, reply);
    }

    private void sendStop(ServerConnection connection, Attempt attempt) {
        if (attempt.hasEnded()) {
            release(connection);
            return;
        }
        sendHealthTimed(connection, attempt.stopRequest(), reply -> {});
    }

    /** Sends a request that any live server answers at once, with the health timeout. */
    private void sendHealthTimed(ServerConnection connection, ServerRequest request, Consumer<ServerReply> then) {
        healthDeadlinesNanos.put(connection, clock.nanos() + HEALTH_TIMEOUT_NANOS);
        connection.send(request, reply -> {
            healthDeadlinesNanos.remove(connection);
            release(connection);
            then.accept(reply);
            serve();
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
            connection.close("the server is no longer configured");
            return;
        }
        connection.markUsed(clock.nanos());
        idle.push(connection);
    }

    /** Returns the connection used last, so that surplus ones become old; starts a check of those unused for long. */
    private ServerConnection takeIdle() {
        while (!idle.isEmpty()) {
            ServerConnection connection = idle.pop();
            if (!connection.isOpen()) {
                continue;
            }
            if (clock.nanos() - connection.lastUsedNanos() < IDLE_CHECK_NANOS) {
                return connection;
            }
            sendHealthTimed(connection, ServerRequest.health(), reply -> closeUnlessHealthy(connection, reply));
        }
        return null;
    }

    private void closeUnlessHealthy(ServerConnection connection, ServerReply reply) {
        if (!isHealthy(reply)) {
            idle.remove(connection);
            connection.close("the health request failed");
        }
    }

    private static boolean isHealthy(ServerReply reply) {
        return reply.state() == ServerReply.State.RECEIVED && reply.status() == 200;
    }

    private void openIfNeeded() {
        while (!closed && opening < waiting.size() && open.size() + opening < MAX_CONNECTIONS) {
            open(connection -> {
                idle.push(connection);
                serve();
            });
        }
    }

    private void open(Consumer<ServerConnection> onOpen) {
        opening++;
        client.connect(target).onComplete(result -> {
            opening--;
            if (result.succeeded()) {
                onOpen.accept(adopt(result.result()));
            } else {
                onConnectFailed(result.cause());
            }
        });
    }

    private ServerConnection adopt(HttpClientConnection connection) {
        ServerConnection adopted = new ServerConnection(connection, dispatchThread, clock.nanos(), this::onClosed);
        open.add(adopted);
        return adopted;
    }

    /** Each connection is opened for one waiting attempt, so its failure ends one attempt. */
    private void onConnectFailed(Throwable cause) {
        Attempt attempt = waiting.poll();
        if (attempt != null) {
            end(attempt, ServerReply.notWritten("no connection: " + cause.getMessage()));
        }
        serve();
    }

    private void onClosed(ServerConnection connection) {
        open.remove(connection);
        idle.remove(connection);
        healthDeadlinesNanos.remove(connection);
        serve();
    }

    private void expire(Attempt attempt) {
        if (attempt.connection() == null) {
            waiting.remove(attempt);
            attempts.remove(attempt.id());
            attempt.end(Outcome.NOT_SENT, "no free connection before the lease expired", clock.nanos());
            return;
        }
        attempt.connection().close("no response before the lease expired");
    }

    private boolean isSuspect(Attempt attempt, long nowNanos) {
        double expectedNanos = Math.max(meanServiceNanos, attempt.declaredMillis() * 1e6);
        double limitNanos = Math.max(SUSPICION_FACTOR * expectedNanos, MIN_SUSPICION_NANOS);
        return nowNanos - attempt.startedNanos() > limitNanos;
    }

    private void learn(long serviceNanos) {
        meanServiceNanos += MEAN_WEIGHT * (serviceNanos - meanServiceNanos);
    }

    /** Opens a fresh connection and replaces the idle ones by it if the server answers there. */
    private void probe() {
        if (probing || !makeRoomForProbe()) {
            return;
        }
        probing = true;
        LOG.event(Logger.Level.INFO, "a response is overdue; checking on a fresh connection")
                .with("server", server)
                .write();
        opening++;
        client.connect(target).onComplete(result -> {
            opening--;
            if (result.failed()) {
                probing = false;
                return;
            }
            ServerConnection fresh = adopt(result.result());
            sendHealthTimed(fresh, ServerRequest.health(), reply -> onProbeReply(fresh, reply));
        });
    }

    /** Idle connections are replaced anyway if the server answers. Without idle ones there is nothing to replace. */
    private boolean makeRoomForProbe() {
        if (idle.isEmpty()) {
            return false;
        }
        if (open.size() + opening >= MAX_CONNECTIONS) {
            idle.removeLast().close("replaced by a fresh connection");
        }
        return true;
    }

    private void onProbeReply(ServerConnection fresh, ServerReply reply) {
        probing = false;
        closeUnlessHealthy(fresh, reply);
        if (isHealthy(reply)) {
            closeIdle(connection -> connection.openedNanos() - fresh.openedNanos() < 0);
        }
    }

    private void closeIdle(java.util.function.Predicate<ServerConnection> condition) {
        for (ServerConnection connection : List.copyOf(idle)) {
            if (condition.test(connection)) {
                idle.remove(connection);
                connection.close("replaced or no longer needed");
            }
        }
    }
}
