import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A client: one channel an attempt, which it closes when it no longer waits. */
final class Caller {
    static final int NO_RESPONSE = 0;
    private static final long RESEND_MILLIS = 1_300;

    private final Site site;

    Caller(Site site) {
        this.site = site;
    }

    /** Returns the body of a best-effort job of one step; the spec is the run time of each task. */
    static String job(int count, int cpu, long estimateMillis, long runMillis, String label) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", count);
        step.put("cpu", cpu);
        step.put("mem_mb", 64);
        step.put("est_runtime_ms", estimateMillis);
        if (!label.isEmpty()) {
            step.put("requirements", label);
        }
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", Long.toString(runMillis));
        job.put("best_effort", true);
        job.put("steps", List.of(step));
        return Json.write(job);
    }

    /** Sends a job, and again {@code resend_ms} after no response, a broken channel, 502 or 504. Returns the status. */
    int submit(String zone, int client, String id, String body, long deadlineMillis, int attempts) {
        int status = NO_RESPONSE;
        for (int attempt = 1; attempt <= attempts; attempt++) {
            EntryHost host = site.entry(zone, client + attempt - 1);
            status = call(host, "POST", id, body, deadlineMillis);
            if (status != NO_RESPONSE && status != 502 && status != 504) {
                return status;
            }
            if (attempt < attempts) {
                sleep(RESEND_MILLIS);
            }
        }
        return status;
    }

    /** Makes one call on a channel of its own. Returns the status; {@link #NO_RESPONSE} if there is none. */
    int call(EntryHost host, String method, String id, String body, long deadlineMillis) {
        return callPath(host, method, Site.PREFIX + id, body, deadlineMillis);
    }

    /** Makes one call to a path; see {@link #call}. */
    int callPath(EntryHost host, String method, String path, String body, long deadlineMillis) {
        long end = System.nanoTime() + deadlineMillis * 1_000_000;
        site.record.write("client sends %s %s to %s, waits %d ms", method, path, host.name, deadlineMillis);
        String result;
        int status = NO_RESPONSE;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(InetAddress.getByName("127.0.0.1"), host.front), (int) deadlineMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST
                    + "\r\nContent-Type: application/json\r\nX-Banyanspoke-Deadline-Ms: " + deadlineMillis
                    + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            StringBuilder first = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("channel broken");
                }
                first.append((char) c);
            }
            status = Integer.parseInt(first.toString().split(" ")[1]);
            result = "answer " + status;
        } catch (SocketTimeoutException e) {
            result = "no response, channel closed";
        } catch (IOException e) {
            result = "broken channel (" + e.getMessage() + ")";
        }
        site.record.write("client: %s %s at %s: %s", method, path, host.name, result);
        return status;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
