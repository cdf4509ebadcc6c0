import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host: a process started with the command of the deploy file. */
final class EntryHost {
    private static final Set<String> PASSED_VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

    final String name;
    final String zone;
    final int front;
    private final int ready;
    private final Path root;
    private final Path folder;
    private final Path settings;
    private final int metrics;
    private final Record record;
    private Process process;

    /**
     * @param root root of the repository
     * @param folder temporary folder for the settings file and the output
     */
    EntryHost(String name, String zone, String storeAddress, Path root, Path folder, Record record)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.root = root;
        this.folder = folder;
        this.record = record;
        int[] ports = freePorts(4);
        front = ports[0];
        ready = ports[1];
        metrics = ports[2];
        settings = folder.resolve(name + ".toml");
        Files.writeString(settings, String.join(
                "\n",
                "node = \"" + name + "\"",
                "role = \"entry-host\"",
                "machine_class = \"edge\"",
                "ip = \"127.0.0.1\"",
                "zone = \"" + zone + "\"",
                "port_range = [" + ports[3] + ", " + ports[3] + "]",
                "heartbeat_ms = 1500",
                "[listen]",
                "front = \"127.0.0.1:" + front + "\"",
                "ready = \"127.0.0.1:" + ready + "\"",
                "[limits]",
                "cpu_share = 0.75",
                "cores = 1",
                "memory_mb = 430",
                "max_fds = 4100",
                "[bounds]",
                "grace_s = 6",
                "max_hold_ms = 1000",
                "stop_grace_ms = 50",
                "cancel_ms = 3000",
                "resend_ms = 1300",
                "far_factor = 2",
                "[platform]",
                "address = \"" + storeAddress + "\"",
                ""));
    }

    /** Returns ports below the ephemeral range, so that they are still free when the process starts. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        int found = 0;
        java.util.Random random = new java.util.Random();
        while (found < count) {
            int port = 15_000 + random.nextInt(15_000);
            try (ServerSocket socket = new ServerSocket(port)) {
                ports[found++] = socket.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        return ports;
    }

    void start() throws IOException {
        List<String> command = command();
        int port = command.indexOf("--metrics-port");
        command.set(port + 1, Integer.toString(metrics));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(PASSED_VARIABLES);
        builder.environment().put("BANYANSPOKE_SETTINGS", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        record.write("%s started, zone %s", name, zone);
    }

    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Returns whether the readiness check is answered with 200 within a second. */
    boolean isReady() {
        try {
            HttpURLConnection check = (HttpURLConnection)
                    new URL("http://127.0.0.1:" + ready + "/readiness").openConnection();
            check.setConnectTimeout(1_000);
            check.setReadTimeout(1_000);
            check.setRequestProperty("Connection", "close");
            return check.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns a value of the metrics; -1 if there is none. */
    double metric(String metric) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    new URL("http://127.0.0.1:" + metrics + "/metrics").openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            for (String line : new String(call.getInputStream().readAllBytes()).split("\n")) {
                if (line.startsWith(metric + " ")) {
                    return Double.parseDouble(line.substring(metric.length() + 1));
                }
            }
        } catch (IOException e) {
            // Not up yet.
        }
        return -1;
    }

    void signal(String signal) throws Exception {
        record.write("SIG%s to %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process, also a stopped one. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
