package org.banyanspoke.daemon.backend;

import com.google.common.net.HostAndPort;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.TaskAttempt;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Sends tasks to backend servers over HTTP/1.1. Manages its own connections, because the Vert.x connection pool would
 * choose and reuse connections by its own rules. Not thread safe: all methods must be called on the dispatch thread.
 */
public final class BackendClient implements TaskTransport {
    private final Context dispatchThread;
    private final MonotonicClock clock;
    private final HttpClientAgent client;
    private final Map<ServerId, Target> targets = new HashMap<>();
    /** Pools of servers that were removed or changed address, kept until idle. */
    private final List<ServerConnectionPool> retired = new ArrayList<>();

    private record Target(String address, ServerConnectionPool connections) {}

    /**
     * @param vertx creates the HTTP client
     * @param dispatchThread event loop on which every method is called
     * @param clock measures leases and timeouts
     */
    public BackendClient(Vertx vertx, Context dispatchThread, MonotonicClock clock) {
        this.dispatchThread = dispatchThread;
        this.clock = clock;
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(true)
                .setPipelining(false)
                .setKeepAliveTimeout(0)
                .setTcpNoDelay(true);
        this.client = vertx.createHttpClient(options);
    }

    /** Applies the backend servers of a configuration. Attempts in progress continue on their existing connections. */
    public void configure(ConfigState config) {
        for (BackendServerConfig server : config.servers().values()) {
            Target current = targets.get(server.id());
            if (current == null || !current.address().equals(server.address())) {
                retire(current);
                targets.put(server.id(), open(server));
            }
        }
        for (Iterator<Map.Entry<ServerId, Target>> it = targets.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<ServerId, Target> entry = it.next();
            if (!config.servers().containsKey(entry.getKey())) {
                retire(entry.getValue());
                it.remove();
            }
        }
    }

    @Override
    public void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd) {
        Attempt started = new Attempt(attempt, clock.nanos(), onEnd);
        Target target = targets.get(attempt.server());
        if (target == null) {
            dispatchThread.runOnContext(unused ->
                    started.end(Outcome.NOT_SENT, "backend server is not in the configuration", clock.nanos()));
            return;
        }
        target.connections().start(started);
    }

    @Override
    public void stop(TaskAttempt attempt) {
        Target target = targets.get(attempt.server());
        if (target != null) {
            target.connections().stop(attempt.attemptId());
        }
    }

    /** Ends attempts whose lease has expired and detects unresponsive connections. Called every 10 ms. */
    public void tick() {
        targets.values().forEach(target -> target.connections().tick());
        retired.forEach(ServerConnectionPool::tick);
        retired.removeIf(ServerConnectionPool::isIdle);
    }

    /** Closes all connections. */
    public void close() {
        targets.values().forEach(target -> target.connections().close());
        retired.forEach(ServerConnectionPool::close);
    }

    private Target open(BackendServerConfig server) {
        HostAndPort address = HostAndPort.fromString(server.address());
        return new Target(
                server.address(), new ServerConnectionPool(server.id(), address, client, dispatchThread, clock));
    }

    private void retire(Target target) {
        if (target != null) {
            target.connections().retire();
            retired.add(target.connections());
        }
    }
}
