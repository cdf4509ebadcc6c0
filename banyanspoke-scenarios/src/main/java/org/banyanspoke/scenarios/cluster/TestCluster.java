package org.banyanspoke.scenarios.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.bench.internal.JsonHttpClient;
import org.banyanspoke.bench.internal.ManagedProcess;
import org.banyanspoke.scenarios.history.Event;

/** The processes of one scenario and the faults that can be injected into them. Closing kills all running processes. */
public final class TestCluster implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MILLIS = 40_000;
    private static final long STOP_TIMEOUT_MILLIS = 40_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;
    /** Longer than the 5 s that a host may take to determine the outcome of a ticket. */
    private static final long TICKET_TIMEOUT_MILLIS = 10_000;

    private static final String SIMULATOR_JAVA_OPTS = "-Xmx96m -XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=1";
    private static final String HOST_JAVA_OPTS = "-Xmx192m -XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=1";

    private final Path home;
    private final Path directory;
    private final Layout layout;
    private final HistoryRecorder recorder;
    private final List<Object> observationLocks;
    private final JsonHttpClient http = new JsonHttpClient();
    private final List<ManagedProcess> simulators = new ArrayList<>();
    private final Set<Integer> notYetReady = ConcurrentHashMap.newKeySet();
    private final List<ManagedProcess> hosts = new CopyOnWriteArrayList<>();

    /**
     * @param home directory that contains {@code bin}
     * @param hosts number of entry hosts
     * @param servers number of backend servers
     * @param recorder receives the observations of operators and servers
     * @throws IOException if there are no free ports or no temporary directory
     */
    public TestCluster(Path home, int hosts, int servers, HistoryRecorder recorder) throws IOException {
        this.home = home;
        this.directory = Files.createTempDirectory("banyanspoke-scenario");
        this.layout = Layout.onFreePorts(hosts, servers);
        this.recorder = recorder;
        this.observationLocks = Stream.generate(Object::new).limit(hosts).toList();
    }

    /** Starts all processes, sends ticket 1 and waits until every entry host is ready. */
    public void start() throws Exception {
        startSimulator("log", layout.logPort(), layout.logControlPort());
        startSimulator("host-list", layout.hostListPort(), layout.hostListControlPort());
        List<String> relayArguments = new ArrayList<>(List.of("--route"));
        relayArguments.addAll(layout.relayRoutes());
        startSimulator("relay", 0, layout.relayControlPort(), relayArguments.toArray(new String[0]));
        startSimulator(
                "backend",
                layout.serverPort(0),
                layout.backendControlPort(),
                "--count",
                String.valueOf(layout.servers()),
                "--ledger",
                ledgerFile().toString());
        await("the log", () -> httpStatus("GET", layout.logControlPort(), "/options") == 200);
        await("the relay", () -> httpStatus("GET", layout.relayControlPort(), "/links") == 200);
        await("the backend servers", () -> httpStatus("GET", layout.backendControlPort(), "/options") == 200);
        for (int host = 0; host < layout.hosts(); host++) {
            hosts.add(startHost(host));
        }
        for (int host = 0; host < layout.hosts(); host++) {
            int port = layout.callersPort(host);
            await("host " + host, () -> httpStatus("GET", port, "/health/live") == 200);
        }
        await("ticket 1", () -> sendTicket(0, layout.firstTicket()) == 200);
        for (int host = 0; host < layout.hosts(); host++) {
            awaitReady(host);
        }
    }

    private void startSimulator(String kind, int port, int controlPort, String... extraArguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                home.resolve("bin/banyanspoke-standin").toString(),
                kind,
                "--port",
                String.valueOf(port),
                "--control-port",
                String.valueOf(controlPort)));
        command.addAll(List.of(extraArguments));
        simulators.add(ManagedProcess.start(command, SIMULATOR_JAVA_OPTS, directory.resolve(kind + ".out")));
    }

    private ManagedProcess startHost(int host) throws IOException {
        Path settings = directory.resolve(Layout.hostId(host) + ".json");
        Files.write(settings, Json.mapper().writeValueAsBytes(layout.settings(host)));
        List<String> command = List.of(home.resolve("bin/banyanspoked").toString(), "--settings", settings.toString());
        return ManagedProcess.start(command, HOST_JAVA_OPTS, directory.resolve(Layout.hostId(host) + ".out"));
    }

    /** Returns the number of backend servers. */
    public int servers() {
        return layout.servers();
    }

    /** Returns the number of entry hosts. */
    public int hosts() {
        return layout.hosts();
    }

    /** Returns the callers' port of an entry host. */
    int callersPort(int host) {
        return layout.callersPort(host);
    }

    /** Waits until the host reports that it is ready. */
    public void awaitReady(int host) throws Exception {
        int port = layout.callersPort(host);
        await("readiness of host " + host, () -> httpStatus("GET", port, "/health/ready") == 200);
    }

    /** Kills the process of an entry host. */
    public void killHost(int host) {
        recorder.add(new Event.HostKilled(System.currentTimeMillis(), Layout.hostId(host)));
        hosts.get(host).kill();
    }

    /** Suspends the process of an entry host. */
    public void freezeHost(int host) throws Exception {
        hosts.get(host).signal("STOP");
    }

    /** Resumes the suspended process of an entry host. */
    public void resumeHost(int host) throws Exception {
        hosts.get(host).signal("CONT");
    }

    /** Starts a new process for an entry host whose process has exited. */
    public void restartHost(int host) throws Exception {
        notYetReady.add(host);
        hosts.set(host, startHost(host));
        recorder.add(new Event.HostStarted(System.currentTimeMillis(), Layout.hostId(host)));
    }

    /** Begins the graceful shutdown of an entry host and returns without waiting for its exit. */
    public void beginGracefulShutdown(int host) throws Exception {
        recorder.add(new Event.PlannedStop(System.currentTimeMillis(), Layout.hostId(host)));
        hosts.get(host).signal("TERM");
    }

    /** Waits for the exit of an entry host and returns its exit code; -1 on timeout. */
    public int awaitExit(int host) throws Exception {
        ManagedProcess process = hosts.get(host);
        return process.awaitExit(STOP_TIMEOUT_MILLIS) ? process.exitCode() : -1;
    }

    /** Changes options of the log simulator. */
    public void changeLog(Map<String, Object> options) throws Exception {
        sendControlRequest(layout.logControlPort(), "/options", options);
    }

    /** Changes options of one simulated backend server. */
    public void changeServer(int server, Map<String, Object> options) throws Exception {
        sendControlRequest(layout.backendControlPort(), "/options?servers=" + server, options);
    }

    /** Records that a backend server has begun to leave. */
    public void recordLeaving(int server) {
        recorder.add(new Event.Leaving(System.currentTimeMillis(), Layout.serverId(server)));
    }

    /** Records that a ticket which puts a backend server back in service is about to be sent. */
    public void recordInService(int server) {
        recorder.add(new Event.InService(System.currentTimeMillis(), Layout.serverId(server)));
    }

    /** Sets the given backend servers to leaving in the host list, and all other processes to live. */
    public void setLeavingInHostList(Set<Integer> servers) throws Exception {
        List<Map<String, String>> listed = new ArrayList<>();
        for (int i = 0; i < layout.servers(); i++) {
            String state = servers.contains(i) ? "leaving" : "live";
            listed.add(Map.of("id", Layout.serverId(i), "role", "backend", "state", state));
        }
        for (int i = 0; i < layout.hosts(); i++) {
            listed.add(Map.of("id", Layout.hostId(i), "role", "entry", "state", "live"));
        }
        sendControlRequest(layout.hostListControlPort(), "/hosts", Map.of("hosts", listed));
    }

    /** Sets the state of a host's links: inbound from its peers, outbound to the log, or both. */
    public void setLinks(int host, boolean peers, boolean log, String state) throws Exception {
        List<Integer> ports = new ArrayList<>();
        if (peers) {
            ports.add(layout.peerRelayPort(host));
        }
        if (log) {
            ports.add(layout.logRelayPort(host));
        }
        sendControlRequest(layout.relayControlPort(), "/links", Map.of("ports", ports, "state", state));
    }

    /** Sets the state of the inbound peer links of all hosts in a zone; the zone's index is zero-based. */
    public void setZoneLinks(int zone, String state) throws Exception {
        for (int host : layout.hostsOfZone(zone)) {
            setLinks(host, true, false, state);
        }
    }

    /** Opens all links. */
    public void openAllLinks() throws Exception {
        sendControlRequest(layout.relayControlPort(), "/links", Map.of("ports", List.of(), "state", "open"));
    }

    /** Sends a ticket through a host, records it if accepted and returns the HTTP status. */
    public int sendTicket(int host, Ticket ticket) throws Exception {
        JsonHttpClient.Response answer = http.send(
                "POST",
                layout.adminPort(host),
                "/v1/admin/tickets",
                ticket,
                Layout.OPERATOR_TOKEN,
                TICKET_TIMEOUT_MILLIS);
        if (answer.status() == 200) {
            recorder.add(new Event.TicketAccepted(System.currentTimeMillis(), ticket.number(), ticket.ticketId()));
        }
        return answer.status();
    }

    /** Builds a ticket that changes only the promised time of the main batch. */
    public Ticket promiseTicket(long number, String ticketId, long promiseMillis) {
        return Layout.promiseTicket(number, ticketId, promiseMillis);
    }

    /** Builds a ticket that changes only the state of a server. */
    public Ticket serverTicket(long number, int server, ServerState state) {
        return layout.serverTicket(number, server, state);
    }

    /**
     * Reads and records the configuration number of a host. Returns -1 if the host does not respond, or if it has not
     * been ready since its restart: until then it refuses all work, so no configuration is in force there.
     */
    public long observeConfig(int host, boolean reachable) throws InterruptedException {
        // One request at a time per host, so that concurrent observers record configuration numbers in the order read.
        synchronized (observationLocks.get(host)) {
            long atMillis = System.currentTimeMillis();
            try {
                JsonNode status = http.send(
                                "GET", layout.adminPort(host), "/v1/admin/status", null, Layout.OPERATOR_TOKEN, 1_000)
                        .body();
                if (status.path("ready").asBoolean()) {
                    notYetReady.remove(host);
                } else if (notYetReady.contains(host)) {
                    return -1;
                }
                long number = status.path("configNumber").asLong(-1);
                recorder.add(new Event.ConfigSeen(atMillis, Layout.hostId(host), number, reachable));
                return number;
            } catch (IOException e) {
                return -1;
            }
        }
    }

    /** Adds the task starts and finishes from the backend servers' ledger to the history. */
    public void recordLedger(Map<String, String> resultByTask) throws Exception {
        sendControlRequest(layout.backendControlPort(), "/flush", Map.of());
        for (String line : Files.readAllLines(ledgerFile())) {
            JsonNode entry = Json.mapper().readTree(line);
            long atMillis = entry.path("atMillis").asLong();
            String server = entry.path("server").asText();
            String job = entry.path("jobId").asText();
            String task = entry.path("taskId").asText();
            if (entry.path("event").asText().equals("start")) {
                recorder.add(new Event.Started(atMillis, server, job, task));
            } else if (entry.path("outcome").asText().equals("DONE")) {
                String result = resultByTask.getOrDefault(job + "/" + task, task);
                recorder.add(new Event.Finished(atMillis, server, job, task, result));
            }
        }
    }

    /** Returns the number of ledger entries with the given event, such as {@code start}. */
    public long countLedgerEvents(String event) throws Exception {
        sendControlRequest(layout.backendControlPort(), "/flush", Map.of());
        long count = 0;
        for (String line : Files.readAllLines(ledgerFile())) {
            if (Json.mapper().readTree(line).path("event").asText().equals(event)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the last 40 output lines of every process. */
    public String outputTails() throws IOException {
        StringBuilder text = new StringBuilder();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".out")).sorted().toList()) {
                List<String> lines = Files.readAllLines(file);
                text.append("== ").append(file.getFileName()).append('\n');
                lines.stream()
                        .skip(Math.max(0, lines.size() - 40))
                        .forEach(l -> text.append(l).append('\n'));
            }
        }
        return text.toString();
    }

    /** Returns the working directory with settings, process outputs and the ledger. */
    public Path directory() {
        return directory;
    }

    private Path ledgerFile() {
        return directory.resolve("ledger.jsonl");
    }

    private void sendControlRequest(int port, String path, Object body) throws Exception {
        JsonHttpClient.Response answer = http.send("POST", port, path, body, "", REQUEST_TIMEOUT_MILLIS);
        if (answer.status() / 100 != 2) {
            throw new IOException("control request " + path + " failed with HTTP status " + answer.status());
        }
    }

    private int httpStatus(String method, int port, String path) throws InterruptedException {
        try {
            return http.send(method, port, path, null, Layout.OPERATOR_TOKEN, 1_000)
                    .status();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Polls until the condition holds.
     *
     * @param description names what is awaited, for the error message
     * @throws IOException on timeout
     */
    public static void await(String description, Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > endNanos) {
                throw new IOException(
                        "timed out waiting for " + description + " after " + AWAIT_TIMEOUT_MILLIS + " ms");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    @Override
    public void close() {
        hosts.forEach(ManagedProcess::kill);
        simulators.forEach(ManagedProcess::kill);
    }

    /** Returns the zero-based indexes of all hosts. */
    public IntStream hostIndexes() {
        return IntStream.range(0, layout.hosts());
    }
}
