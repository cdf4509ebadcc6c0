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

/** Processes of a run: simulators and entry hosts. Closing the cluster kills them all. */
public final class Cluster implements AutoCloseable {
    /** 8 hosts starting simultaneously take 24 s at a load average of 43. */
    private static final long PROCESS_TIMEOUT_MILLIS = 60_000;

    private static final long POLL_MILLIS = 20;
    private static final String BACKEND_JAVA_OPTIONS = "-Xmx512m -XX:ActiveProcessorCount=3";
    private static final String PLATFORM_JAVA_OPTIONS = "-Xmx64m -XX:ActiveProcessorCount=1";

    private final ClusterOptions options;
    private final Topology topology;
    private final Ticket initialTicket;
    private final JsonHttpClient http = new JsonHttpClient();
    private final List<ManagedProcess> simulators = new ArrayList<>();
    private final List<ManagedProcess> hosts = new CopyOnWriteArrayList<>();
    /** CPU time of stopped and killed host processes, read just before they were signalled. */
    private Duration exitedCpuTime = Duration.ZERO;

    /**
     * @param options start-up options of the processes
     * @param topology layout of hosts and servers
     * @param initialTicket ticket with the initial configuration
     */
    public Cluster(ClusterOptions options, Topology topology, Ticket initialTicket) {
        this.options = options;
        this.topology = topology;
        this.initialTicket = initialTicket;
    }

    /**
     * Starts all processes, submits the initial ticket and waits until all hosts are ready.
     *
     * @throws IOException if a process fails to start or the ticket is not accepted
     */
    public void start() throws IOException, InterruptedException {
        startPlatform();
        launchHosts();
        for (int host = 0; host < topology.hosts(); host++) {
            awaitHttp(topology.callersPort(host), "/health/live");
        }
        submit(initialTicket);
        for (int host = 0; host < topology.hosts(); host++) {
            awaitHttp(topology.callersPort(host), "/health/ready");
        }
    }

    /**
     * Starts the simulators and waits until they accept requests.
     *
     * @throws IOException if a simulator fails to start
     */
    void startPlatform() throws IOException, InterruptedException {
        startSimulators();
        awaitHttp(topology.logControlPort(), "/options");
        awaitHttp(topology.hostListControlPort(), "/options");
        awaitHttp(topology.backendControlPort(), "/options");
        publishHostList();
    }

    /** Starts all hosts without waiting until they are ready. */
    void launchHosts() throws IOException {
        for (int host = 0; host < topology.hosts(); host++) {
            hosts.add(startHost(host));
        }
    }

    /**
     * Submits a ticket to the first host.
     *
     * @throws IOException if the ticket is not accepted
     */
    void submit(Ticket ticket) throws IOException, InterruptedException {
        http.post(topology.adminPort(0), "/v1/admin/tickets", ticket);
    }

    /** Appends a record to the log directly, bypassing the entry hosts. */
    void appendToLog(Object body) throws IOException, InterruptedException {
        http.post(topology.logPort(), "/records", body);
    }

    /**
     * Waits until a host is ready.
     *
     * @throws IOException if the host is not ready within the time-out
     */
    void awaitReady(int host) throws IOException, InterruptedException {
        awaitHttp(topology.callersPort(host), "/health/ready");
    }

    /** Kills a host and starts a replacement process without waiting until it is ready. */
    void replaceHost(int host) throws IOException, InterruptedException {
        killHost(host);
        if (!hosts.get(host).awaitExit(PROCESS_TIMEOUT_MILLIS)) {
            throw new IOException("host " + Topology.hostId(host) + " did not exit after SIGKILL");
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

    /** Returns the output file of a host. */
    Path output(int host) {
        return options.directory().resolve(Topology.hostId(host) + ".out");
    }

    /** Returns the request counts of the log simulator. */
    JsonNode logCounts() throws IOException, InterruptedException {
        return http.get(topology.logControlPort(), "/counts");
    }

    /** Returns the current counts of all processes. */
    Measurement.Counts counts() throws IOException, InterruptedException {
        return new Measurement.Counts(System.nanoTime(), hostCpuTime(), hostMetrics(), ledger(), platformRequests());
    }

    private void startSimulators() throws IOException {
        startSimulator(PLATFORM_JAVA_OPTIONS, "log", topology.logPort(), topology.logControlPort());
        startSimulator(PLATFORM_JAVA_OPTIONS, "host-list", topology.hostListPort(), topology.hostListControlPort());
        List<String> backendArguments = new ArrayList<>(List.of(
                "--count", String.valueOf(topology.speeds().size()),
                "--speeds", topology.speeds().stream().map(String::valueOf).collect(Collectors.joining(",")),
                "--threads", "3",
                "--ledger", ledgerFile().toString(),
                "--seed", String.valueOf(options.seed())));
        if (options.instantServers()) {
            backendArguments.add("--instant");
        }
        startSimulator(
                BACKEND_JAVA_OPTIONS,
                "backend",
                topology.serverPort(0),
                topology.backendControlPort(),
                backendArguments.toArray(new String[0]));
    }

    private void startSimulator(String javaOptions, String kind, int port, int controlPort, String... extraArguments)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(
                options.home().resolve("bin/banyanspoke-standin").toString(),
                kind,
                "--port",
                String.valueOf(port),
                "--control-port",
                String.valueOf(controlPort)));
        command.addAll(List.of(extraArguments));
        simulators.add(
                ManagedProcess.start(command, javaOptions, options.directory().resolve(kind + ".out")));
    }

    private void publishHostList() throws IOException, InterruptedException {
        List<Map<String, String>> entries = new ArrayList<>();
        for (int host = 0; host < topology.hosts(); host++) {
            entries.add(Map.of("id", Topology.hostId(host), "role", "entry", "state", "live"));
        }
        for (int server = 0; server < topology.speeds().size(); server++) {
            entries.add(Map.of("id", "b" + server, "role", "backend", "state", "live"));
        }
        http.post(topology.hostListControlPort(), "/hosts", Map.of("hosts", entries));
    }

    private ManagedProcess startHost(int host) throws IOException {
        Path settings = options.directory().resolve(Topology.hostId(host) + ".json");
        Files.writeString(
                settings,
                Json.mapper().writeValueAsString(ClusterConfiguration.settings(topology, host, options.policy())));
        List<String> command =
                List.of(options.home().resolve("bin/banyanspoked").toString(), "--settings", settings.toString());
        return ManagedProcess.start(command, options.hostJavaOptions(), output(host));
    }

    /**
     * Shuts a host down gracefully, starts a replacement process and waits until it is ready.
     *
     * @return the exit code of the previous process
     * @throws IOException if the host does not exit or the replacement is not ready within the time-out
     */
    public int restartHost(int host) throws IOException, InterruptedException {
        ManagedProcess previous = hosts.get(host);
        addExitedCpuTime(previous);
        previous.terminate();
        if (!previous.awaitExit(PROCESS_TIMEOUT_MILLIS)) {
            throw new IOException("host " + Topology.hostId(host) + " did not exit within " + PROCESS_TIMEOUT_MILLIS
                    + " ms after SIGTERM");
        }
        hosts.set(host, startHost(host));
        awaitHttp(topology.callersPort(host), "/health/ready");
        return previous.exitCode();
    }

    /** Kills a host. */
    public void killHost(int host) {
        addExitedCpuTime(hosts.get(host));
        hosts.get(host).kill();
    }

    private synchronized void addExitedCpuTime(ManagedProcess process) {
        exitedCpuTime = exitedCpuTime.plus(process.cpuTime());
    }

    /** Returns the total CPU time of the entry hosts, including exited processes. */
    public synchronized Duration hostCpuTime() {
        return hosts.stream().map(ManagedProcess::cpuTime).reduce(exitedCpuTime, Duration::plus);
    }

    /** Returns the metrics of each host, or an empty object for a host that does not respond. */
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

    /** Flushes the ledger to its file and returns its summary. */
    public JsonNode ledger() throws IOException, InterruptedException {
        http.post(topology.backendControlPort(), "/flush", Map.of());
        return http.get(topology.backendControlPort(), "/ledger");
    }

    /** Returns the number of requests received by the log and the host list. */
    public long platformRequests() throws IOException, InterruptedException {
        JsonNode log = http.get(topology.logControlPort(), "/counts");
        JsonNode list = http.get(topology.hostListControlPort(), "/counts");
        return log.path("reads").asLong()
                + log.path("appends").asLong()
                + list.path("reads").asLong();
    }

    /** Posts a change to the control port of a simulator. */
    public void postControl(int controlPort, String path, Object patch) throws IOException, InterruptedException {
        http.post(controlPort, path, patch);
    }

    /** Returns the ledger file. */
    public Path ledgerFile() {
        return options.directory().resolve("ledger.jsonl");
    }

    private void awaitHttp(int port, String path) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + PROCESS_TIMEOUT_MILLIS * 1_000_000;
        while (true) {
            try {
                http.get(port, path);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException(
                            "no successful response from port " + port + " " + path + " within "
                                    + PROCESS_TIMEOUT_MILLIS + " ms",
                            e);
                }
            }
            if (!simulators.stream().allMatch(ManagedProcess::isAlive)) {
                throw new IOException("a simulator exited unexpectedly; its output is in " + options.directory());
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        hosts.forEach(ManagedProcess::kill);
        simulators.forEach(ManagedProcess::kill);
    }
}
