package org.banyanspoke.host;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.StringWriter;
import java.util.function.LongSupplier;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.ConnectionGuard;
import org.banyanspoke.platform.ConnectionLimits;
import org.jboss.logging.Logger;

/** Metrics of an entry host, served in the Prometheus text format. */
final class HostMetrics implements PoolListener {
    private static final String PATH = "/metrics";
    private static final EventLog LOG = EventLog.of(HostMetrics.class);

    private final MetricRegistry registry = new MetricRegistry();
    private final CollectorRegistry exports = new CollectorRegistry();

    HostMetrics() {
        exports.register(new DropwizardExports(registry));
    }

    /** Registers a gauge whose value is read at each scrape. */
    void gauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /** Counts an answer of this host to a caller. */
    void answered(PooledJob job, JobOutcome outcome, long totalMillis) {
        registry.counter("entry.answers." + outcome.kind().name()).inc();
        registry.histogram("entry.total_millis." + job.queuePolicy().priority()).update(totalMillis);
    }

    /** Counts a cancellation by a caller, by whether any host knew the job. */
    void cancelled(boolean known) {
        registry.counter("entry.cancellations." + (known ? "known" : "unknown")).inc();
    }

    /** Counts each start or end of dispatching by this host. */
    void dispatchingChanged() {
        registry.counter("dispatcher.changes").inc();
    }

    @Override
    public void onJobEnded(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {
        int priority = job.queuePolicy().priority();
        registry.counter("pool.jobs." + outcome.kind().name()).inc();
        registry.histogram("pool.waiting_millis." + priority).update(waitedMillis);
        registry.histogram("pool.total_millis." + priority).update(totalMillis);
    }

    @Override
    public void onRunStarted(RunKey run, ServerId server, long expectedMillis) {
        registry.counter("pool.starts").inc();
    }

    @Override
    public void onStartRefused(RunKey run, ServerId server, Status status) {
        registry.counter("pool.starts_refused." + status.name()).inc();
    }

    @Override
    public void onRunEnded(RunKey run, ServerId server, EndKind kind, long runMillis) {
        registry.counter("pool.run_ends." + kind.name()).inc();
    }

    @Override
    public void onNearWaitBegun(CallerJobId job, int tasks, long untilMillis) {
        registry.counter("pool.near_waits").inc(tasks);
    }

    @Override
    public void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long waitedMillis) {
        registry.counter("pool.near_wait_ends." + end.name()).inc();
        registry.counter("pool.near_wait_millis").inc(waitedMillis);
    }

    @Override
    public void onServerStateChanged(ServerId server, String state, String reason) {
        registry.counter("pool.servers." + state).inc();
    }

    /** Serves the metrics over HTTP. If the port cannot be bound, logs an error; the host runs without metrics. */
    void serve(Vertx vertx, String ip, int port) {
        HttpServer server = vertx.createHttpServer(ConnectionGuard.configure(new HttpServerOptions()));
        new ConnectionGuard(vertx, "metrics", ConnectionLimits.forChecks())
                .guard(server)
                .requestHandler(this::onRequest)
                .listen(port, ip)
                .onFailure(
                        e -> LOG.event(Logger.Level.ERROR, "cannot listen on the metrics port, metrics are not served")
                                .with("port", port)
                                .with("reason", e.getMessage())
                                .write());
    }

    private void onRequest(HttpServerRequest request) {
        // A request target without a path, such as an authority, has none.
        if (!PATH.equals(request.path())) {
            var unused = request.response().setStatusCode(404).end();
            return;
        }
        var unused = request.response()
                .putHeader("Content-Type", TextFormat.CONTENT_TYPE_004)
                .end(text());
    }

    /** Returns all metrics in the Prometheus text format. */
    String text() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, exports.metricFamilySamples());
        } catch (IOException e) {
            throw new IllegalStateException("write to StringWriter failed", e);
        }
        return writer.toString();
    }
}
