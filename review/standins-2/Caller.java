import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Client of an entry host on one channel. */
final class Caller implements AutoCloseable {
    /** An answer; the status is 0 if the channel ended or the time was over without a whole answer. */
    record Answer(int status, String body, String end) {}

    private final Socket socket = new Socket();
    private final InputStream in;

    Caller(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the body of a job of one step, whose tasks take {@code runMillis}. */
    static String job(int tasks, int cpu, long estimateMillis, long runMillis, String requirement) {
        return job(tasks, cpu, estimateMillis, runMillis, requirement, "");
    }

    /** Returns the body of a job of one step, whose data are in a rack. */
    static String job(int tasks, int cpu, long estimateMillis, long runMillis, String requirement, String rack) {
        Map<String, Object> step = Json.of("count", tasks, "cpu", cpu, "mem_mb", 64, "est_runtime_ms", estimateMillis);
        if (!requirement.isEmpty()) {
            step.put("requirements", requirement);
        }
        if (!rack.isEmpty()) {
            step.put("affinity", rack);
        }
        return Json.write(
                Json.of("spec", Long.toString(runMillis), "best_effort", true, "steps", java.util.List.of(step)));
    }

    /** Sends a request on a channel of its own. */
    static Answer get(int port, String path) {
        try (Caller caller = new Caller(port)) {
            return caller.call("GET", path, "", 2_000);
        } catch (IOException e) {
            return new Answer(0, "", e.getMessage());
        }
    }

    /** Sends a job on a channel of its own and waits for the answer until the deadline. */
    static Answer post(int port, String path, String body, int deadlineMillis) {
        try (Caller caller = new Caller(port)) {
            return caller.call("POST", path, body, deadlineMillis);
        } catch (IOException e) {
            return new Answer(0, "", e.getMessage());
        }
    }

    /** Sends a request and waits for the answer until the deadline. */
    Answer call(String method, String path, String body, int deadlineMillis) {
        try {
            socket.setSoTimeout(deadlineMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                    + "X-Banyanspoke-Deadline-Ms: " + deadlineMillis
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            socket.getOutputStream().write(out.toByteArray());
            return read();
        } catch (IOException e) {
            return new Answer(0, "", String.valueOf(e.getMessage()));
        }
    }

    private Answer read() throws IOException {
        String first = line();
        if (first == null) {
            return new Answer(0, "", "the channel was closed");
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return new Answer(0, "", "the channel was closed within the answer");
        }
        return new Answer(Integer.parseInt(first.split(" ")[1]), new String(body, StandardCharsets.UTF_8), "");
    }

    private String line() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
