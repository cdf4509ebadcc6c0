package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.json.Json;

/** The processes of a run: stand-ins and entry hosts. Closing it ends them all. */
public final class Cluster implements AutoCloseable {
    private static final long START_LIMIT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 20;
    private static final String STANDIN_OPTIONS = "-Xmx512m -XX:ActiveProcessorCount=3";
    private static final String PLATFORM_OPTIONS = "-Xmx64m -XX:ActiveProcessorCount=1";

    private final ClusterOptions options;
    private final Topology topology;
    private final Ticket ticket;
    private final HttpJson http = new HttpJson();
    private final List<ManagedProcess> standins = new ArrayList<>();
    private final List<ManagedProcess> hosts = new CopyOnWriteArrayList<>();
    /** Processor time of host processes that were stopped or killed, up to that moment. */
    private Duration endedCpuTime = Duration.ZERO;

    /**
     * @param options how to start the processes
     * @param topology hosts and servers
     * @param ticket the first configuration
     */
    public Cluster(ClusterOptions options, Topology topology, Ticket ticket) {
        this.options = options;
        this.topology = topology;
        this.ticket = ticket;
    }

    /**
     * Starts everything, sends the ticket and waits until all hosts are ready.
     *
     * @throws IOException if a process does not start or the ticket is not accepted
     */
    public void start() throws IOException, InterruptedException {
        startPlatform();
        launchHosts();
        for (int host = 0; host < topology.hosts(); host++) {
            awaitHttp(topology.callersPort(host), "/health/live");
        }
        send(ticket);
        for (int host = 0; host < topology.hosts(); host++) {
            awaitHttp(topology.callersPort(host), "/health/ready");
        }
    }

    /**
     * Starts the stand-ins and waits until they listen.
     *
     * @throws IOException if one does not start
     */
    void startPlatform() throws IOException, InterruptedException {
        startStandins();
        awaitHttp(topology.logControlPort(), "/options");
        awaitHttp(topology.hostListControlPort(), "/options");
        awaitHttp(topology.fleetControlPort(), "/options");
        publishHosts();
    }

    /** Starts all hosts and does not wait for them. */
    void launchHosts() throws IOException {
        for (int host = 0; host < topology.hosts(); host++) {
            hosts.add(startHost(host));
        }
    }

    /**
     * Sends a change ticket to the first host.
     *
     * @throws IOException if it is not accepted
     */
    void send(Ticket change) throws IOException, InterruptedException {
        http.post(topology.adminPort(0), "/v1/admin/tickets", change);
    }

    /** Appends a record to the log, as another user of the platform does. */
    void appendToLog(Object body) throws IOException, InterruptedException {
        http.post(topology.logPort(), "/records", body);
    }

    /**
     * Waits until a host is ready.
     *
     * @throws IOException if it is not ready in time
     */
    void awaitReady(int host) throws IOException, InterruptedException {
        awaitHttp(topology.callersPort(host), "/health/ready");
    }

    /** Kills a host and starts a new process in its place. Does not wait for it. */
    void replaceHost(int host) throws IOException, InterruptedException {
        killHost(host);
        if (!hosts.get(host).awaitEnd(START_LIMIT_MILLIS)) {
            throw new IOException("host " + Topology.hostId(host) + " has not ended after SIGKILL");
        }
        hosts.set(host, startHost(host));
    }

    /** Returns the status of a host. */
    JsonNode status(int host) throws IOException, InterruptedException {
        return http.get(topology.adminPort(host), "/v1/admin/status");
    }

    /** Returns the process id of a host. */
    long pid(int host) {
        return hosts.get(host).pid();
    }

    /** Returns the file with the output of a host. */
    Path output(int host) {
        return options.directory().resolve(Topology.hostId(host) + ".out");
    }

    /** Returns the counts of the log. */
    JsonNode logCounts() throws IOException, InterruptedException {
        return http.get(topology.logControlPort(), "/counts");
    }

    /** Returns all counts at this moment. */
    Measurement.Counts counts() throws IOException, InterruptedException {
        return new Measurement.Counts(System.nanoTime(), hostCpuTime(), hostMetrics(), ledger(), platformRequests());
    }

    private void startStandins() throws IOException {
        standin(PLATFORM_OPTIONS, "log", topology.logPort(), topology.logControlPort());
        standin(PLATFORM_OPTIONS, "host-list", topology.hostListPort(), topology.hostListControlPort());
        List<String> fleet = new ArrayList<>(List.of(
                "--count", String.valueOf(topology.speeds().size()),
                "--speeds", topology.speeds().stream().map(String::valueOf).collect(Collectors.joining(",")),
                "--threads", "3",
                "--ledger", ledgerFile().toString(),
                "--seed", String.valueOf(options.seed())));
        if (options.instantServers()) {
            fleet.add("--instant");
        }
        standin(
                STANDIN_OPTIONS,
                "backend",
                topology.serverPort(0),
                topology.fleetControlPort(),
                fleet.toArray(new String[0]));
    }

    private void standin(String javaOptions, String kind, int port, int controlPort, String... more)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                options.home().resolve("bin/banyanspoke-standin").toString(),
                kind,
                "--port",
                String.valueOf(port),
                "--control-port",
                String.valueOf(controlPort)));
        command.addAll(List.of(more));
        standins.add(
                ManagedProcess.start(command, javaOptions, options.directory().resolve(kind + ".out")));
    }

    private void publishHosts() throws IOException, InterruptedException {
        List<Map<String, String>> listed = new ArrayList<>();
        for (int host = 0; host < topology.hosts(); host++) {
            listed.add(Map.of("id", Topology.hostId(host), "role", "entry", "state", "live"));
        }
        for (int server = 0; server < topology.speeds().size(); server++) {
            listed.add(Map.of("id", "b" + server, "role", "backend", "state", "live"));
        }
        http.post(topology.hostListControlPort(), "/hosts", Map.of("hosts", listed));
    }

    private ManagedProcess startHost(int host) throws IOException {
        Path settings = options.directory().resolve(Topology.hostId(host) + ".json");
        Files.writeString(settings, Json.mapper().writeValueAsString(Setup.settings(topology, host, options.policy())));
        List<String> command =
                List.of(options.home().resolve("bin/banyanspoked").toString(), "--settings", settings.toString());
        return ManagedProcess.start(command, options.hostJavaOptions(), output(host));
    }

    /**
     * Stops a host as on a planned stop and starts a new process in its place.
     *
     * @return the exit code of the old process
     * @throws IOException if the new process does not get ready
     */
    public int restartHost(int host) throws IOException, InterruptedException {
        ManagedProcess old = hosts.get(host);
        noteCpuTime(old);
        old.terminate();
        if (!old.awaitEnd(START_LIMIT_MILLIS)) {
            throw new IOException(
                    "host " + Topology.hostId(host) + " has not stopped " + START_LIMIT_MILLIS + " ms after SIGTERM");
        }
        hosts.set(host, startHost(host));
        awaitHttp(topology.callersPort(host), "/health/ready");
        return old.exitCode();
    }

    /** Kills a host. */
    public void killHost(int host) {
        noteCpuTime(hosts.get(host));
        hosts.get(host).kill();
    }

    private synchronized void noteCpuTime(ManagedProcess process) {
        endedCpuTime = endedCpuTime.plus(process.cpuTime());
    }

    /** Returns the processor time of the entry hosts, with those that have ended. */
    public synchronized Duration hostCpuTime() {
        return hosts.stream().map(ManagedProcess::cpuTime).reduce(endedCpuTime, Duration::plus);
    }

    /** Returns the metrics of every host that responds. */
    public List<JsonNode> hostMetrics() throws InterruptedException {
        List<JsonNode> metrics = new ArrayList<>();
        for (int host = 0; host < topology.hosts(); host++) {
            try {
                metrics.add(http.get(topology.adminPort(host), "/v1/admin/metrics"));
            } catch (IOException e) {
                metrics.add(Json.mapper().createObjectNode());
            }
        }
        return metrics;
    }

    /** Returns the summary of the ledger, after writing its lines to the file. */
    public JsonNode ledger() throws IOException, InterruptedException {
        http.post(topology.fleetControlPort(), "/flush", Map.of());
        return http.get(topology.fleetControlPort(), "/ledger");
    }

    /** Returns requests received by the log and the host list. */
    public long platformRequests() throws IOException, InterruptedException {
        JsonNode log = http.get(topology.logControlPort(), "/counts");
        JsonNode list = http.get(topology.hostListControlPort(), "/counts");
        return log.path("reads").asLong()
                + log.path("appends").asLong()
                + list.path("reads").asLong();
    }

    /** Changes options of a stand-in. */
    public void change(int controlPort, String path, Object patch) throws IOException, InterruptedException {
        http.post(controlPort, path, patch);
    }

    /** Returns the file of the ledger. */
    public Path ledgerFile() {
        return options.directory().resolve("ledger.jsonl");
    }

    private void awaitHttp(int port, String path) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + START_LIMIT_MILLIS * 1_000_000;
        while (true) {
            try {
                http.get(port, path);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    throw new IOException(
                            "no success from port " + port + " " + path + " within " + START_LIMIT_MILLIS + " ms", e);
                }
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        hosts.forEach(ManagedProcess::kill);
        standins.forEach(ManagedProcess::kill);
    }
}
