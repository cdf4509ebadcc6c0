package org.banyanspoke.scenarios.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.json.Json;
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
    private final Http http = new Http();
    private final List<ScenarioProcess> standins = new ArrayList<>();
    private final List<ScenarioProcess> hosts = new ArrayList<>();

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
        List<String> arguments = new ArrayList<>(
                List.of(kind, "--port", String.valueOf(port), "--control-port", String.valueOf(controlPort)));
        arguments.addAll(List.of(more));
        Path script = home.resolve("bin/banyanspoke-standin");
        standins.add(ScenarioProcess.start(script, SMALL, directory.resolve(kind + ".out"), arguments));
    }

    private ScenarioProcess startHost(int host) throws IOException {
        Path settings = directory.resolve(Layout.hostId(host) + ".json");
        Files.write(settings, Json.mapper().writeValueAsBytes(layout.settings(host)));
        return ScenarioProcess.start(
                home.resolve("bin/banyanspoked"),
                HOST,
                directory.resolve(Layout.hostId(host) + ".out"),
                List.of("--settings", settings.toString()));
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
        hosts.set(host, startHost(host));
    }

    /** Begins the graceful shutdown of an entry host. */
    public void beginPlannedStop(int host) throws Exception {
        recorder.add(new Event.PlannedStop(System.currentTimeMillis(), Layout.hostId(host)));
        hosts.get(host).signal("TERM");
    }

    /** Waits until an entry host has ended and returns its exit code. */
    public int awaitStop(int host) throws Exception {
        return hosts.get(host).awaitExit(STOP_LIMIT_MILLIS);
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

    /** Lets the host list say that a backend server is leaving. */
    public void listServerAsLeaving(int server) throws Exception {
        List<Map<String, String>> listed = new ArrayList<>();
        for (int i = 0; i < layout.servers(); i++) {
            String state = i == server ? "leaving" : "live";
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

    /** Sends a ticket through a host, records acceptance, and returns the HTTP status. */
    public int sendTicket(int host, Ticket ticket) throws Exception {
        Http.Answer answer = http.send(
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

    /** Builds a ticket that marks a server as leaving. */
    public Ticket leavingTicket(long number, int server) {
        return layout.leavingTicket(number, server);
    }

    /** Reads the configuration number of a host and records it; -1 if the host does not answer. */
    public long observeConfig(int host, boolean reachable) throws InterruptedException {
        try {
            JsonNode status = http.send(
                            "GET", layout.admin(host), "/v1/admin/status", null, Layout.OPERATOR_TOKEN, 1_000)
                    .body();
            long number = status.path("configNumber").asLong(-1);
            recorder.add(new Event.ConfigSeen(System.currentTimeMillis(), Layout.hostId(host), number, reachable));
            return number;
        } catch (IOException e) {
            return -1;
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

    /** Returns the output of every process, for a failed scenario. */
    public String outputs() throws IOException {
        StringBuilder text = new StringBuilder();
        try (java.util.stream.Stream<Path> files = Files.list(directory)) {
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

    private Path ledgerFile() {
        return directory.resolve("ledger.jsonl");
    }

    private void control(int port, String path, Object body) throws Exception {
        Http.Answer answer = http.send("POST", port, path, body, "", REQUEST_LIMIT_MILLIS);
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
        hosts.forEach(ScenarioProcess::kill);
        standins.forEach(ScenarioProcess::kill);
    }

    /** Returns the indexes of all hosts. */
    public IntStream allHosts() {
        return IntStream.range(0, layout.hosts());
    }
}
