package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, minions and entry hosts. */
final class Site implements AutoCloseable {
    private static final long START_MILLIS = 40_000;
    static final String HOST_NAME = "jobs.example";

    final Record record = new Record();
    final Store store = new Store();
    final Path folder = Files.createTempDirectory("review3-");
    final List<Minion> minions = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();

    Site() throws IOException {}

    /** Returns a route of the manifest. */
    static Map<String, Object> route(String name, String prefix, String service, long timeoutMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST_NAME);
        route.put("path_prefix", prefix);
        route.put("kind", "non_idempotent");
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 60);
        route.put("priority", 0);
        route.put("service", service);
        route.put("attempts", 3);
        route.put("stretch", 8);
        return route;
    }

    /** Writes a manifest, as the operator does. */
    void manifest(long version, List<Map<String, Object>> routes, String... services) {
        List<Object> descriptions = new ArrayList<>();
        for (String each : services) {
            descriptions.add(Map.of(
                    "name", each, "health_path", "/health", "max_conns", 64, "rejects_overload", false, "spare", false));
        }
        Map<String, Object> manifest = new LinkedHashMap<>();
        manifest.put("version", version);
        manifest.put("routes", routes);
        manifest.put("services", descriptions);
        manifest.put("limits", Map.of("max_header_bytes", 16_384, "max_body_bytes", 262_144));
        store.put("keyed.op", "config", manifest);
        record.add("operator: manifest " + version + " acknowledged");
    }

    Minion addMinion(String id, String service, int cpu, String zone) throws IOException {
        Minion minion = new Minion(id, service, cpu, record);
        minions.add(minion);
        store.put("keyed.servers", id, minion.report(zone));
        return minion;
    }

    Host addHost(String name, String zone, int storePort) throws IOException {
        Host host = new Host(name, folder);
        hosts.add(host);
        host.start(zone, storePort);
        return host;
    }

    /** Waits until each host is ready and has completed jobs of a path. Returns false if that takes too long. */
    boolean awaitServing(String prefix) throws IOException {
        long untilMillis = record.millis() + START_MILLIS;
        for (Host host : hosts) {
            int served = 0;
            while (served < 3) {
                if (record.millis() > untilMillis) {
                    record.add("the site doesn't serve");
                    return false;
                }
                Daemons.sleep(200);
                if (host.readiness() != 200) {
                    continue;
                }
                try (Client client = new Client("probe of " + host.name, host.callerPort, record)) {
                    Client.Answer answer =
                            client.request("POST", HOST_NAME, prefix + newId(), job(1, 100, 5, 5), 1_500);
                    served += answer.status() == 200 ? 1 : 0;
                }
            }
        }
        // The hosts of a zone agree on their dispatcher within this time.
        Daemons.sleep(3_000);
        return true;
    }

    /** Returns the body of a job of one step whose tasks take {@code workMillis} each. */
    static String job(int count, int cpu, long workMillis, long estimateMillis) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", count);
        step.put("cpu", cpu);
        step.put("mem_mb", 64);
        step.put("est_runtime_ms", estimateMillis);
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", Long.toString(workMillis));
        job.put("best_effort", true);
        job.put("steps", List.of(step));
        return Json.write(job);
    }

    static String newId() {
        return String.format("%016x", new java.security.SecureRandom().nextLong());
    }

    /** Returns the runs of a job on all minions. */
    List<Minion.Run> runsOf(String job) {
        List<Minion.Run> runs = new ArrayList<>();
        for (Minion minion : minions) {
            for (Minion.Run run : minion.runs()) {
                if (run.task.startsWith(job + ".")) {
                    runs.add(run);
                }
            }
        }
        return runs;
    }

    /** Ends all processes and writes the record. */
    @Override
    public void close() throws IOException {
        hosts.forEach(Host::kill);
        minions.forEach(Minion::close);
        store.close();
        String kept = System.getenv("KEEP_LOGS");
        if (kept == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.err.println("logs: " + folder);
        }
    }
}
