package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.banyanspoke.bench.FaultAction;

/** Injects the faults of a scenario at their scheduled times. */
final class FaultInjector implements AutoCloseable {
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final Cluster cluster;
    private final Topology topology;
    private final LoadGenerator load;
    private final List<Integer> exitCodes = new CopyOnWriteArrayList<>();
    private final List<String> errors = new CopyOnWriteArrayList<>();

    FaultInjector(Cluster cluster, Topology topology, LoadGenerator load) {
        this.cluster = cluster;
        this.topology = topology;
        this.load = load;
    }

    /** Schedules the faults of a measurement that starts after the delay and lasts the given number of seconds. */
    void schedule(List<FaultAction> faults, double delaySeconds, double seconds) {
        for (FaultAction fault : faults) {
            long atMillis = Math.round((delaySeconds + fault.at() * seconds) * 1_000);
            var unused = timer.schedule(() -> run(fault), atMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits up to 2 minutes until all scheduled faults, such as a rolling restart, have completed. */
    void finish() throws InterruptedException {
        timer.shutdown();
        if (!timer.awaitTermination(2, TimeUnit.MINUTES)) {
            errors.add("fault injection did not complete within 2 min");
        }
    }

    List<Integer> exitCodes() {
        return List.copyOf(exitCodes);
    }

    List<String> errors() {
        return List.copyOf(errors);
    }

    private void run(FaultAction fault) {
        try {
            apply(fault);
        } catch (IOException e) {
            errors.add(fault.kind() + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void apply(FaultAction fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case SERVERS ->
                cluster.postControl(topology.backendControlPort(), "/options" + servers(fault), fault.patch());
            case SILENCE -> cluster.postControl(topology.backendControlPort(), "/silence" + servers(fault), Map.of());
            case LOG -> cluster.postControl(topology.logControlPort(), "/options", fault.patch());
            case HOST_LIST -> cluster.postControl(topology.hostListControlPort(), "/options", fault.patch());
            case KILL_HOSTS -> topology.hosts(fault.target()).forEach(cluster::killHost);
            case ROLLING_RESTART -> restartSequentially(topology.hosts(fault.target()));
            case CANCEL -> load.cancelEverySecondJob();
        }
    }

    private void restartSequentially(List<Integer> hosts) throws IOException, InterruptedException {
        for (int host : hosts) {
            exitCodes.add(cluster.restartHost(host));
        }
    }

    private String servers(FaultAction fault) {
        return topology.servers(fault.target()).stream()
                .map(String::valueOf)
                .collect(Collectors.joining(",", "?servers=", ""));
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
