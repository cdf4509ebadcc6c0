import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, minions, and entry hosts as processes of the deploy file. */
final class Stage implements AutoCloseable {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final Random RANDOM = new Random();
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    final Record record;
    final Ledger ledger;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");
    private final List<Minion> minions = new ArrayList<>();

    /** An entry host. */
    final class Host {
        final String name;
        final int callerPort = freePort();
        final int peerPort = freePort();
        private final int readinessPort = freePort();
        private final int metricsPort = freePort();
        private Process process;

        private Host(String name) {
            this.name = name;
        }

        /** Starts the process with the command of the deploy file, with a metrics port of its own. */
        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runLine().split(" +")));
            command.set(command.indexOf("--metrics-port") + 1, Integer.toString(metricsPort));
            ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BANYANSPOKE_SETTINGS", folder.resolve(name + ".toml").toString());
            File output = folder.resolve(name + ".log").toFile();
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                    .start();
            record.line(name, "started");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        Process process() {
            return process;
        }

        /** Sends a signal to the process. */
        void signal(String signal) throws IOException, InterruptedException {
            record.line(name, "signal " + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            return Caller.get(readinessPort, "/readiness").status() == 200;
        }

        double metric(String metric) {
            return Caller.get(metricsPort, "/metrics").body().lines()
                    .filter(line -> line.startsWith(metric + " "))
                    .mapToDouble(line -> Double.parseDouble(line.substring(metric.length() + 1)))
                    .findFirst()
                    .orElse(-1);
        }
    }

    Stage(Path recordFile) throws IOException {
        record = new Record(recordFile);
        ledger = new Ledger(record);
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killHosts));
    }

    private static String runLine() throws IOException {
        return Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring(7, line.length() - 1))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a free port below the range from which the system takes the ports of outgoing connections. */
    static int freePort() {
        while (true) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            if (!USED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException e) {
                // In use; try another one.
            }
        }
    }

    /** Writes a manifest with one queue. */
    void putManifest(int version, List<String> prefixes, int timeoutMillis) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(Json.of(
                    "name", "r" + prefix.replace('/', '-'), "host", "127.0.0.1", "path_prefix", prefix,
                    "kind", "non_idempotent", "timeout_ms", timeoutMillis, "target_latency_ms", 60, "priority", 1,
                    "service", "service", "attempts", 4, "stretch", 1.6));
        }
        Map<String, Object> service = Json.of(
                "name", "service", "health_path", "/health", "max_conns", 64, "protocol", "h1", "tls", false,
                "rejects_overload", false, "spare", false);
        Map<String, Object> limits = Json.of(
                "max_header_bytes", 16_384, "max_body_bytes", 262_144, "header_timeout_ms", 3_000,
                "idle_timeout_ms", 15_000);
        store.put("keyed.op", "config",
                Json.of("version", version, "routes", routes, "services", List.of(service), "limits", limits));
    }

    Minion addMinion(String zone, double clockRate) throws IOException {
        return addMinion(zone, clockRate, "a");
    }

    Minion addMinion(String zone, double clockRate, String kind) throws IOException {
        String id = "i-" + String.format("%04x", 0x7f3a + minions.size());
        Minion minion = new Minion(id, ledger, record, clockRate, kind);
        minions.add(minion);
        store.put("keyed.servers", minion.id(), minion.entry(zone, "ready"));
        return minion;
    }

    Host startHost(String name, String zone) throws IOException {
        return startHost(name, zone, "127.0.0.1:" + store.port());
    }

    Host startHost(String name, String zone, String storeAddress) throws IOException {
        Host host = new Host(name);
        Files.writeString(folder.resolve(name + ".toml"), """
                node = "%s"
                role = "entry-host"
                machine_class = "edge"
                serves = ["edge","control_plane"]
                ip = "127.0.0.1"
                zone = "%s"
                region = "here"
                port_range = [%d,%d]
                bootstrap = true
                heartbeat_ms = 1500
                orders = "call"
                [listen]
                front = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                [limits]
                cpu_share = 0.75
                cores = 1
                memory_mb = 430
                max_fds = 4100
                [bounds]
                contact_ms = 3000
                ack_timeout_ms = 4000
                drain_ms = 2000
                grace_s = 6
                loss_slack_ms = 200
                config_apply_ms = 2000
                rollback_slack_ms = 250
                max_stretch_ms = 5000
                recovery_s = 12
                max_hold_ms = 1000
                stop_grace_ms = 50
                cancel_ms = 3000
                far_factor = 2
                lease_ttl_ms = 3000
                resend_ms = 1300
                [platform]
                address = "%s"
                form = "log"
                """.formatted(
                        name, zone, host.peerPort, host.peerPort, host.callerPort, host.readinessPort, storeAddress));
        hosts.add(host);
        host.start();
        return host;
    }

    /** Waits until all hosts are ready and have heard of each other, and all minions are in use. */
    void awaitReady(long capacityMillicores) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        int steady = 0;
        while (steady < 5) {
            boolean ready = hosts.stream().allMatch(this::hasHeardAllOthers) && capacity() == capacityMillicores;
            steady = ready ? steady + 1 : 0;
            if (System.nanoTime() > untilNanos) {
                for (Host host : hosts) {
                    record.report(host.name + ": alive " + host.isAlive() + ", ready " + host.isReady() + ", peers "
                            + host.metric("peers_heard") + ", capacity " + host.metric("pool_capacity_millicores"));
                }
                throw new IllegalStateException("the deployment does not become ready");
            }
            Thread.sleep(200);
        }
        record.line("stage", "ready");
    }

    private boolean hasHeardAllOthers(Host host) {
        return host.isReady() && host.metric("peers_heard") == hosts.size() - 1;
    }

    private double capacity() {
        return hosts.stream().mapToDouble(host -> host.metric("pool_capacity_millicores")).sum();
    }

    /** Ends the hosts also if the script itself is ended. */
    private void killHosts() {
        hosts.stream().filter(host -> host.process != null).forEach(host -> host.process.destroyForcibly());
    }

    /** Ends all processes and deletes their settings and output, unless the environment variable KEEP is set. */
    @Override
    public void close() throws IOException, InterruptedException {
        for (Host host : hosts) {
            if (host.process != null) {
                host.process.destroyForcibly().waitFor();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("settings and output of the hosts: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
