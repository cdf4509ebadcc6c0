package org.banyanspoke.host.standins;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** An entry host as a separate process, with its settings file and its output. */
public final class HostUnderTest {
    private static final long KIBIBYTE = 1_024;
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 15_000;
    /** As in {@code deploy/system.toml}. */
    private static final String DEFAULT_HEAP = "-Xmx160m";

    /** Concurrent test processes start at different ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 251 % PORT_COUNT));

    private final String name;
    private final Path folder;
    private final int callerPort = freePort();
    private final int readinessPort = freePort();
    private final int peerPort = freePort();
    private final int metricsPort = freePort();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Process process;

    /**
     * @param folder directory of the settings file and the output
     */
    public HostUnderTest(String name, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
    }

    /** Returns a port below the ephemeral range, so that a host's ports are still free at each restart. */
    private static int freePort() {
        while (true) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORT_COUNT;
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; try the next one.
            }
        }
    }

    /** Writes the settings file. */
    public void settings(String zone, double processors, String storeAddress) throws IOException {
        Files.writeString(folder.resolve(name + ".toml"), """
                node = "%s"
                ip = "127.0.0.1"
                zone = "%s"
                port_range = [%d, %d]
                [listen]
                front = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                [limits]
                cpu_share = %s
                cores = 1
                [bounds]
                grace_s = 6
                max_hold_ms = 1000
                far_factor = 2
                resend_ms = 1300
                [platform]
                address = "%s"
                """.formatted(
                        name, zone, peerPort, peerPort, callerPort, readinessPort, processors, storeAddress));
    }

    /** Starts the process. */
    public void start() throws IOException {
        start(DEFAULT_HEAP);
    }

    /**
     * Starts the process with a heap limit of its own.
     *
     * @param heapOption option of the Java runtime, such as {@code -Xmx48m}
     */
    public void start(String heapOption) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heapOption,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "org.banyanspoke.host.Main",
                "--metrics-port",
                Integer.toString(metricsPort));
        builder.environment()
                .put("BANYANSPOKE_SETTINGS", folder.resolve(name + ".toml").toString());
        File output = folder.resolve(name + ".log").toFile();
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
    }

    /** Returns the output of all runs of the process so far. */
    public String output() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Returns whether the output contains a text. */
    public boolean hasWritten(String text) {
        try {
            return output().contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    public String name() {
        return name;
    }

    public int callerPort() {
        return callerPort;
    }

    public Process process() {
        return process;
    }

    /** Returns the resident set of the process. */
    public long residentBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * KIBIBYTE)
                .findFirst()
                .orElse(0);
    }

    /** Returns the number of open descriptors of the process. */
    public int openDescriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    /** Kills the process (SIGKILL). */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Sends a signal by its name, such as {@code HUP}. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Returns the request body of a job whose tasks run for {@code runMillis} each. */
    public static String jobBody(int tasks, int cpuMillicores, long runMillis) {
        return "{\"spec\":\"%d\",\"best_effort\":true,\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":64,\"est_runtime_ms\":%d}]}"
                .formatted(runMillis, tasks, cpuMillicores, runMillis);
    }

    /** Submits a job whose tasks run for {@code runMillis} each, with a deadline of 3 s. */
    public CompletableFuture<HttpResponse<String>> submit(String job, int tasks, int cpuMillicores, long runMillis) {
        return submit(job, tasks, cpuMillicores, runMillis, 3_000, 20_000);
    }

    /**
     * Submits a job.
     *
     * @param deadlineMillis deadline that the request states
     * @param patienceMillis time after which the caller closes its connection
     */
    public CompletableFuture<HttpResponse<String>> submit(
            String job, int tasks, int cpuMillicores, long runMillis, long deadlineMillis, long patienceMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/q/" + job))
                .timeout(Duration.ofMillis(patienceMillis))
                .header("X-Banyanspoke-Deadline-Ms", Long.toString(deadlineMillis))
                .POST(HttpRequest.BodyPublishers.ofString(jobBody(tasks, cpuMillicores, runMillis)))
                .build();
        return http.sendAsync(request, BodyHandlers.ofString());
    }

    /** Cancels a job and returns the HTTP status of the response. */
    public int cancel(String job) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/q/" + job))
                .timeout(Duration.ofSeconds(10))
                .DELETE()
                .build();
        return http.send(request, BodyHandlers.discarding()).statusCode();
    }

    /** Returns the HTTP status of the readiness check; 0 if there is no answer. */
    public int readiness() throws InterruptedException {
        return get(readinessPort, "/readiness").map(HttpResponse::statusCode).orElse(0);
    }

    /** Returns the value of a metric; -1 if it is not served. */
    public double metric(String metric) throws InterruptedException {
        return get(metricsPort, "/metrics").stream()
                .flatMap(answer -> answer.body().lines())
                .filter(line -> line.startsWith(metric + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(metric.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private java.util.Optional<HttpResponse<String>> get(int port, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(2))
                .build();
        try {
            return java.util.Optional.of(http.send(request, BodyHandlers.ofString()));
        } catch (IOException e) {
            return java.util.Optional.empty();
        }
    }
}
