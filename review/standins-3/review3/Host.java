package review3;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An entry host as a process of its own, started with the command of the deploy file. */
final class Host {
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 15_000;
    private static final Set<Integer> TAKEN = new HashSet<>();

    final String name;
    final int callerPort = freePort();
    final int readyPort = freePort();
    final int peerPort = freePort();
    private final int metricsPort = freePort();
    private final Path folder;
    private Process process;

    Host(String name, Path folder) {
        this.name = name;
        this.folder = folder;
    }

    /** Returns a port below the ephemeral range. */
    static synchronized int freePort() {
        int port = FIRST_PORT + (int) (ProcessHandle.current().pid() * 251 % PORTS);
        while (true) {
            port = FIRST_PORT + (port + 1 - FIRST_PORT) % PORTS;
            if (TAKEN.contains(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                TAKEN.add(port);
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use; try the next one.
            }
        }
    }

    /** Writes the settings of a small deployment and starts the process. */
    void start(String zone, int storePort) throws IOException {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, """
                node = "%s"
                role = "entry-host"
                machine_class = "edge"
                serves = ["edge", "control_plane"]
                ip = "127.0.0.1"
                zone = "%s"
                region = "region-1"
                port_range = [%d, %d]
                heartbeat_ms = 1500
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
                recovery_s = 12
                max_hold_ms = 1000
                stop_grace_ms = 50
                cancel_ms = 3000
                visible_ms = 3000
                far_factor = 2
                resend_ms = 1300
                [platform]
                address = "127.0.0.1:%d"
                form = "log"
                writes_per_s = 600
                reads_per_s = 2000
                """.formatted(name, zone, peerPort, peerPort, callerPort, readyPort, storePort));
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BANYANSPOKE_SETTINGS", settings.toString());
        File output = folder.resolve(name + ".log").toFile();
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output))
                .start();
    }

    /** Returns the words of {@code run} in the deploy file, with a metrics port of this host. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(run.split(" ")));
                words.set(words.indexOf("--metrics-port") + 1, Integer.toString(metricsPort));
                return words;
            }
        }
        throw new IOException("deploy/system.toml has no line that begins with run");
    }

    /** Returns the status of the platform's readiness check; 0 without an answer. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 300);
            socket.setSoTimeout(500);
            socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            byte[] head = new byte[12];
            return socket.getInputStream().readNBytes(head, 0, 12) < 12
                    ? 0
                    : Integer.parseInt(new String(head, 9, 3));
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }

    /** Sends a signal by its name. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process, whatever its state. */
    void kill() {
        if (process == null) {
            return;
        }
        try {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
