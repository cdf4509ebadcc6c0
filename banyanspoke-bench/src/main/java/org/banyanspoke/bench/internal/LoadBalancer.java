package org.banyanspoke.bench.internal;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Selects entry hosts by weighted round robin and skips hosts that are not ready, like the platform's load balancer.
 * Thread-safe.
 */
public final class LoadBalancer implements AutoCloseable {
    /** 5 readiness checks per second detect a stopping host well within its 2 s notice period. */
    private static final long CHECK_PERIOD_MILLIS = 200;

    private static final long CHECK_TIMEOUT_MILLIS = 1_000;

    private final List<Integer> ports;
    private final List<Integer> rotation = new ArrayList<>();
    private final AtomicIntegerArray ready;
    private final AtomicLong next = new AtomicLong();
    private final HttpClient checkClient;
    private final Vertx vertx;
    private final long checkTimerId;

    /**
     * @param vertx runs the readiness checks
     * @param ports client-facing port of each host
     * @param weights relative share of requests of each host
     */
    public LoadBalancer(Vertx vertx, List<Integer> ports, List<Integer> weights) {
        this.vertx = vertx;
        this.ports = List.copyOf(ports);
        ready = new AtomicIntegerArray(ports.size());
        checkClient = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
        int rounds = weights.stream().mapToInt(Integer::intValue).max().orElse(1);
        for (int round = 0; round < rounds; round++) {
            for (int host = 0; host < ports.size(); host++) {
                if (weights.get(host) > round) {
                    rotation.add(host);
                }
            }
        }
        checkTimerId = vertx.setPeriodic(0, CHECK_PERIOD_MILLIS, id -> checkAll());
    }

    /** Returns the client-facing port of the next ready host, or of the next host if none is ready. */
    public int nextPort() {
        for (int attempt = 0; attempt < rotation.size(); attempt++) {
            int host = nextInRotation();
            if (ready.get(host) == 1) {
                return ports.get(host);
            }
        }
        return ports.get(nextInRotation());
    }

    /** Returns the number of ready hosts. */
    public int readyHosts() {
        int count = 0;
        for (int host = 0; host < ports.size(); host++) {
            count += ready.get(host);
        }
        return count;
    }

    /** Stops the readiness checks. */
    @Override
    public void close() {
        vertx.cancelTimer(checkTimerId);
    }

    private int nextInRotation() {
        return rotation.get((int) (next.getAndIncrement() % rotation.size()));
    }

    private void checkAll() {
        for (int host = 0; host < ports.size(); host++) {
            check(host);
        }
    }

    private void check(int host) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(ports.get(host))
                .setMethod(HttpMethod.GET)
                .setURI("/health/ready")
                .setTimeout(CHECK_TIMEOUT_MILLIS);
        checkClient
                .request(options)
                .compose(request -> request.send())
                .onSuccess(response -> ready.set(host, response.statusCode() == 200 ? 1 : 0))
                .onFailure(e -> ready.set(host, 0));
    }
}
