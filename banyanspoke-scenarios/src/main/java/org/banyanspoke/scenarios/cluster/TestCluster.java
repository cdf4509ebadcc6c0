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

/** The processes of one scenario, and the faults that a scenario can bring about. Closing it kills what still runs. */
public final class TestCluster implements AutoCloseable {
    private static final long START_LIMIT_MILLIS = 40_000;
    private static final long STOP_LIMIT_MILLIS = 40_000;
    private static final long POLL_MILLIS = 50;
    private static final long REQUEST_LIMIT_MILLIS = 5_000;
    /** Sending a ticket may take the 5 s in which its outcome is settled. */
    private static final long TICKET_LIMIT_MILLIS = 10_000;

    private static final String SMALL = "-Xmx96m -XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=1";
    private static final String HOST = "-Xmx192m -XX:ActiveProcessorCount=2 -XX:TieredStopAtLevel=1";

    private final Path home;
    private final Path directory;
    private final Layout layout;
    private final HistoryRecorder recorder;
    private final List<Object> observers;
    private final JsonHttpClient http = new JsonHttpClient();
    private final List<ManagedProcess> standins = new ArrayList<>();
    private final Set<Integer> starting = ConcurrentHashMap.newKeySet();
    private final List<ManagedProcess> hosts = new CopyOnWriteArrayList<>();

    /**
     * @param home directory that holds {@code bin}
     * @param hosts number of entry hosts
     * @param servers number of backend servers
     * @param recorder receives what operators and servers see
     * @throws IOException if there are no free ports or no temporary directory
     */
    public TestCluster(Path home, int hosts, int servers, HistoryRecorder recorder) throws IOException {
        this.home = home;
        this.directory = Files.createTempDirectory("banyanspoke-scenario");
        this.layout = Layout.onFreePorts(hosts, servers);
        this.recorder = recorder;
        this.observers = Stream.generate(Object::new).limit(hosts).toList();
    }

    /** Starts everything, sends ticket 1 and waits until every entry host is ready. */
    public void start() throws Exception {
        standin("log", layout.logPort(), layout.logControl());
        standin("host-list", layout.hostListPort(), layout.hostListControl());
        List<String> relay = new ArrayList<>(List.of("--route"));
        relay.addAll(layout.relayRoutes());
        standin("relay", 0, layout.relayControl(), relay.toArray(new String[0]));
        standin(
                "backend",
                layout.server(0),
                layout.fleetControl(),
                "--count",
                String.valueOf(layout.servers()),
                "--ledger",
                ledgerFile().toString());
        await("the log", () -> status("GET", layout.logControl(), "/options") == 200);
        await("the relay", () -> status("GET", layout.relayControl(), "/links") == 200);
        await("the backend servers", () -> status("GET", layout.fleetControl(), "/options") == 200);
        for (int host = 0; host < layout.hosts(); host++) {
            hosts.add(startHost(host));
        }
        for (int host = 0; host < layout.hosts(); host++) {
            int port = layout.callers(host);
            await("host " + host, () -> status("GET", port, "/health/live") == 200);
        }
        await("ticket 1", () -> sendTicket(0, layout.firstTicket()) == 200);
        for (int host = 0; host < layout.hosts(); host++) {
            awaitReady(host);
        }
    }

    private void standin(String kind, int port, int controlPort, String... more) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                home.resolve("bin/banyanspoke-standin").toString(),
                kind,
                "--port",
                String.valueOf(port),
                "--control-port",
                String.valueOf(controlPort)));
        command.addAll(List.of(more));
        standins.add(ManagedProcess.start(command, SMALL, directory.resolve(kind + ".out")));
    }

    private ManagedProcess startHost(int host) throws IOException {
        Path settings = directory.resolve(Layout.hostId(host) + ".json");
        Files.write(settings, Json.mapper().writeValueAsBytes(layout.settings(host)));
        List<String> command = List.of(home.resolve("bin/banyanspoked").toString(), "--settings", settings.toString());
        return ManagedProcess.start(command, HOST, directory.resolve(Layout.hostId(host) + ".out"));
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
        return layout.callers(host);
    }

    /** Waits until the host takes work. */
    public void awaitReady(int host) throws Exception {
        int port = layout.callers(host);
        await("readiness of host " + host, () -> status("GET", port, "/health/ready") == 200);
    }

    /** Kills an entry host. */
    public void killHost(int host) {
        recorder.add(new Event.HostKilled(System.currentTimeMillis(), Layout.hostId(host)));
        hosts.get(host).kill();
    }

    /** Freezes an entry host. */
    public void freezeHost(int host) throws Exception {
        hosts.get(host).signal("STOP");
    }

    /** Lets a frozen entry host go on. */
    public void continueHost(int host) throws Exception {
        hosts.get(host).signal("CONT");
    }

    /** Starts a new process in place of one that has ended. */
    public void startHostAgain(int host) throws Exception {
        starting.add(host);
        hosts.set(host, startHost(host));
        recorder.add(new Event.HostStarted(System.currentTimeMillis(), Layout.hostId(host)));
    }

    /** Begins the graceful shutdown of an entry host. */
    public void beginPlannedStop(int host) throws Exception {
        recorder.add(new Event.PlannedStop(System.currentTimeMillis(), Layout.hostId(host)));
        hosts.get(host).signal("TERM");
    }

    /** Waits until an entry host has ended and returns its exit code; -1 if it did not end in time. */
    public int awaitStop(int host) throws Exception {
        ManagedProcess process = hosts.get(host);
        return process.awaitExit(STOP_LIMIT_MILLIS) ? process.exitCode() : -1;
    }

    /** Changes options of the log stand-in. */
    public void changeLog(Map<String, Object> options) throws Exception {
        control(layout.logControl(), "/options", options);
    }

    /** Changes options of one backend server. */
    public void changeServer(int server, Map<String, Object> options) throws Exception {
        control(layout.fleetControl(), "/options?servers=" + server, options);
    }

    /** Records that a backend server is leaving from now on. */
    public void recordLeaving(int server) {
        recorder.add(new Event.Leaving(System.currentTimeMillis(), Layout.serverId(server)));
    }

    /** Records that a ticket may put a backend server in service again from now on. */
    public void recordInService(int server) {
        recorder.add(new Event.InService(System.currentTimeMillis(), Layout.serverId(server)));
    }

    /** Lets the host list say which backend servers are leaving. */
    public void listAsLeaving(Set<Integer> servers) throws Exception {
        List<Map<String, String>> listed = new ArrayList<>();
        for (int i = 0; i < layout.servers(); i++) {
            String state = servers.contains(i) ? "leaving" : "live";
            listed.add(Map.of("id", Layout.serverId(i), "role", "backend", "state", state));
        }
        for (int i = 0; i < layout.hosts(); i++) {
            listed.add(Map.of("id", Layout.hostId(i), "role", "entry", "state", "live"));
        }
        control(layout.hostListControl(), "/hosts", Map.of("hosts", listed));
    }

    /** Cuts or opens the links by which others reach a host and by which it reaches the log. */
    public void setLinks(int host, boolean peers, boolean log, String state) throws Exception {
        List<Integer> ports = new ArrayList<>();
        if (peers) {
            ports.add(layout.peerRelay(host));
        }
        if (log) {
            ports.add(layout.logRelay(host));
        }
        control(layout.relayControl(), "/links", Map.of("ports", ports, "state", state));
    }

    /** Cuts or opens the links by which others reach the hosts of a zone, numbered from 0. */
    public void setZoneLinks(int zone, String state) throws Exception {
        for (int host : layout.hostsOfZone(zone)) {
            setLinks(host, true, false, state);
        }
    }

    /** Opens all links. */
    public void openAllLinks() throws Exception {
        control(layout.relayControl(), "/links", Map.of("ports", List.of(), "state", "open"));
    }

    /** Sends a ticket through a host, records acceptance, and returns the HTTP status. */
    public int sendTicket(int host, Ticket ticket) throws Exception {
        JsonHttpClient.Response answer = http.send(
                "POST", layout.admin(host), "/v1/admin/tickets", ticket, Layout.OPERATOR_TOKEN, TICKET_LIMIT_MILLIS);
        if (answer.status() == 200) {
            recorder.add(new Event.TicketAccepted(System.currentTimeMillis(), ticket.number(), ticket.ticketId()));
        }
        return answer.status();
    }

    /** Builds a ticket that changes only the promise of the batch. */
    public Ticket promiseTicket(long number, String ticketId, long promiseMillis) {
        return Layout.promiseTicket(number, ticketId, promiseMillis);
    }

    /** Builds a ticket that changes only the state of a server. */
    public Ticket serverTicket(long number, int server, ServerState state) {
        return layout.serverTicket(number, server, state);
    }

    /**
     * Reads the configuration number of a host and records it; -1 if the host does not answer, or if it has not been ready since its
     * start: until then it refuses all work, so no number is in force there.
     */
    public long observeConfig(int host, boolean reachable) throws InterruptedException {
        // One request at a time for each host, so that two observers cannot record their numbers in the wrong order.
        synchronized (observers.get(host)) {
            long atMillis = System.currentTimeMillis();
            try {
                JsonNode status = http.send(
                                "GET", layout.admin(host), "/v1/admin/status", null, Layout.OPERATOR_TOKEN, 1_000)
                        .body();
                if (status.path("ready").asBoolean()) {
                    starting.remove(host);
                } else if (starting.contains(host)) {
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

    /** Adds the starts and finishes in the ledger of the backend servers to the history. */
    public void recordLedger(Map<String, String> resultByTask) throws Exception {
        control(layout.fleetControl(), "/flush", Map.of());
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

    /** Returns how many events of a kind, such as starts, the backend servers have written so far. */
    public long countLedger(String event) throws Exception {
        control(layout.fleetControl(), "/flush", Map.of());
        long count = 0;
        for (String line : Files.readAllLines(ledgerFile())) {
            if (Json.mapper().readTree(line).path("event").asText().equals(event)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the output of every process, for a failed scenario. */
    public String outputs() throws IOException {
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

    /** Returns the directory of settings, outputs and the ledger. */
    public Path directory() {
        return directory;
    }

    private Path ledgerFile() {
        return directory.resolve("ledger.jsonl");
    }

    private void control(int port, String path, Object body) throws Exception {
        JsonHttpClient.Response answer = http.send("POST", port, path, body, "", REQUEST_LIMIT_MILLIS);
        if (answer.status() / 100 != 2) {
            throw new IOException("control request " + path + " was answered with " + answer.status());
        }
    }

    private int status(String method, int port, String path) throws InterruptedException {
        try {
            return http.send(method, port, path, null, Layout.OPERATOR_TOKEN, 1_000)
                    .status();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Waits until a condition holds. */
    public static void await(String what, Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + START_LIMIT_MILLIS * 1_000_000;
        while (!condition.call()) {
            if (System.nanoTime() > endNanos) {
                throw new IOException(what + " did not come about within " + START_LIMIT_MILLIS + " ms");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        hosts.forEach(ManagedProcess::kill);
        standins.forEach(ManagedProcess::kill);
    }

    /** Returns the indexes of all hosts. */
    public IntStream allHosts() {
        return IntStream.range(0, layout.hosts());
    }
}
