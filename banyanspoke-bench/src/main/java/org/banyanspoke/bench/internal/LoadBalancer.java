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
 * Chooses entry hosts in weighted round robin and avoids hosts that are not ready, as the platform's load balancer
 * does. Thread safe.
 */
public final class LoadBalancer implements AutoCloseable {
    /** Readiness is asked 5 times a second, well inside the 2 s notice of a host that stops. */
    private static final long CHECK_PERIOD_MILLIS = 200;

    private static final long CHECK_LIMIT_MILLIS = 1_000;

    private final List<Integer> ports;
    private final List<Integer> rotation = new ArrayList<>();
    private final AtomicIntegerArray ready;
    private final AtomicLong next = new AtomicLong();
    private final HttpClient checks;
    private final Vertx vertx;
    private final long timer;

    /**
     * @param vertx runs the checks
     * @param ports callers' port of each host
     * @param weights share of each host relative to the others
     */
    public LoadBalancer(Vertx vertx, List<Integer> ports, List<Integer> weights) {
        this.vertx = vertx;
        this.ports = List.copyOf(ports);
        ready = new AtomicIntegerArray(ports.size());
        checks = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
        int rounds = weights.stream().mapToInt(Integer::intValue).max().orElse(1);
        for (int round = 0; round < rounds; round++) {
            for (int host = 0; host < ports.size(); host++) {
                if (weights.get(host) > round) {
                    rotation.add(host);
                }
            }
        }
        timer = vertx.setPeriodic(0, CHECK_PERIOD_MILLIS, id -> checkAll());
    }

    /** Returns the callers' port of the next ready host; of the next host if none is ready. */
    public int nextPort() {
        for (int tried = 0; tried < rotation.size(); tried++) {
            int host = nextInRotation();
            if (ready.get(host) == 1) {
                return ports.get(host);
            }
        }
        return ports.get(nextInRotation());
    }

    /** Returns the number of hosts that are ready. */
    public int readyHosts() {
        int count = 0;
        for (int host = 0; host < ports.size(); host++) {
            count += ready.get(host);
        }
        return count;
    }

    /** Ends the checks. */
    @Override
    public void close() {
        vertx.cancelTimer(timer);
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
                .setTimeout(CHECK_LIMIT_MILLIS);
        checks.request(options)
                .compose(request -> request.send())
                .onSuccess(response -> ready.set(host, response.statusCode() == 200 ? 1 : 0))
                .onFailure(e -> ready.set(host, 0));
    }
}
