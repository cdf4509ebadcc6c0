import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A small deployment on loopback: store, minions, entry hosts, and the platform's entry address. */
final class Site implements java.io.Closeable {
    /** Exit codes, which {@code run-script.sh} translates. */
    static final int HELD = 0;

    static final int BROKEN = 10;
    static final int COULD_NOT_RUN = 20;

    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "huvo11a";
    static final long MAX_HOLD_MILLIS = 1_000;
    static final long STOP_GRACE_MILLIS = 50;

    final Record record;
    final Store store;
    final List<Minion> minions = new ArrayList<>();
    final List<EntryHost> hosts = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final Map<EntryHost, Integer> misses = new ConcurrentHashMap<>();

    Site(Path root, Path recordFile) throws IOException {
        this.root = root;
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(EntryHost::kill)));
    }

    /** Whether the disruption is left out. */
    static boolean calm() {
        return "0".equals(System.getProperty("trouble"));
    }

    /** The operator writes a manifest with one queue for each prefix; returns when the store has acknowledged it. */
    void manifest(int version, long timeoutMillis, double stretch, String... prefixes) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(route(prefix, timeoutMillis, stretch));
        }
        Map<String, Object> manifest = new LinkedHashMap<>();
        manifest.put("version", version);
        manifest.put("routes", routes);
        manifest.put("services", List.of(Map.of("name", SERVICE, "rejects_overload", false)));
        manifest.put("limits", Map.of("max_body_bytes", 262_144));
        store.put("keyed.op", "config", manifest);
        record.write("manifest %d is acknowledged, queues %s", version, List.of(prefixes));
    }

    private static Map<String, Object> route(String prefix, long timeoutMillis, double stretch) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-" + prefix.replace("/", ""));
        route.put("host", HOST);
        route.put("path_prefix", prefix);
        route.put("kind", "non_idempotent");
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 60);
        route.put("priority", 0);
        route.put("service", SERVICE);
        route.put("attempts", 4);
        route.put("stretch", stretch);
        return route;
    }

    Minion minion(String id, String zone, int cpu, List<String> labels) throws IOException {
        Minion minion = new Minion(
                id, zone, SERVICE, cpu, labels, MAX_HOLD_MILLIS, STOP_GRACE_MILLIS - 10, record, store);
        minions.add(minion);
        return minion;
    }

    EntryHost host(String name, String zone) throws IOException {
        return host(name, zone, store.address());
    }

    /** Adds an entry host that reaches the store at an address of its own. */
    EntryHost host(String name, String zone, String storeAddress) throws IOException {
        EntryHost host = new EntryHost(name, zone, storeAddress, root, folder, record);
        hosts.add(host);
        return host;
    }

    /** Starts the entry hosts and waits until they serve with the capacity of all minions. */
    void start(double millicores) throws Exception {
        for (EntryHost host : hosts) {
            host.start();
        }
        long until = System.nanoTime() + 25_000_000_000L;
        while (System.nanoTime() < until) {
            double capacity = 0;
            boolean ready = true;
            for (EntryHost host : hosts) {
                ready &= host.isReady();
                capacity += Math.max(0, host.metric("pool_capacity_millicores"));
            }
            if (ready && capacity == millicores) {
                record.write("all hosts are ready, capacity %.0f millicores", capacity);
                Thread checks = new Thread(this::checkReadiness);
                checks.setDaemon(true);
                checks.start();
                // Hosts exchange their states every second.
                Thread.sleep(2_500);
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the hosts do not serve");
    }

    private void checkReadiness() {
        while (true) {
            for (EntryHost host : hosts) {
                new Thread(() -> {
                            int missed = host.isReady() ? 0 : misses.getOrDefault(host, 0) + 1;
                            misses.put(host, missed);
                            if (missed == 2) {
                                record.write("platform: %s is out of rotation", host.name);
                            }
                        })
                        .start();
            }
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Returns the host that the platform gives a new channel of a client to: one of the client's zone, or of another
     * zone if none of its own is in rotation.
     *
     * @param number a hash of the client, and of the attempt
     */
    EntryHost entry(String zone, int number) {
        List<EntryHost> own = rotation(zone);
        if (own.isEmpty()) {
            own = hosts.stream().filter(host -> misses.getOrDefault(host, 0) < 2).toList();
        }
        if (own.isEmpty()) {
            own = hosts.stream().filter(host -> host.zone.equals(zone)).toList();
        }
        return own.get(Math.floorMod(number, own.size()));
    }

    private List<EntryHost> rotation(String zone) {
        List<EntryHost> own = hosts.stream().filter(host -> host.zone.equals(zone)).toList();
        List<EntryHost> in = own.stream().filter(host -> misses.getOrDefault(host, 0) < 2).toList();
        return !in.isEmpty() && in.size() * 2 < own.size() ? own : in;
    }

    /** Returns the pairs of runs of one task that were at work at the same time. */
    List<String> simultaneousRuns() {
        List<String> found = new ArrayList<>();
        Map<String, List<Record.Run>> byTask = new LinkedHashMap<>();
        record.runs().forEach(run -> byTask.computeIfAbsent(run.task, key -> new ArrayList<>()).add(run));
        for (List<Record.Run> runs : byTask.values()) {
            for (int i = 0; i < runs.size(); i++) {
                for (int j = i + 1; j < runs.size(); j++) {
                    if (runs.get(i).overlaps(runs.get(j))) {
                        found.add(runs.get(i) + " and " + runs.get(j));
                    }
                }
            }
        }
        return found;
    }

    @Override
    public void close() throws IOException {
        hosts.forEach(EntryHost::kill);
        minions.forEach(Minion::close);
        store.close();
        record.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
