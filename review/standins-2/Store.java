import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the platform's store: appends, reads and newest records of keyed topics with one partition. */
final class Store {
    private record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Record record;
    private final Map<String, Long> lastReadNanos = new HashMap<>();
    private final HttpListener listener;

    Store(Record record) throws IOException {
        this.record = record;
        this.listener = new HttpListener(0, request -> answer("", request));
    }

    int port() {
        return listener.port();
    }

    /** Returns another port of the store, whose calls are known to come from one host. */
    int portFor(String host) throws IOException {
        return new HttpListener(0, request -> answer(host, request)).port();
    }

    /** Returns how long ago a host last began to read a topic, in milliseconds. */
    synchronized long readAgeMillis(String host, String topic) {
        return (System.nanoTime() - lastReadNanos.getOrDefault(host + " " + topic, 0L)) / 1_000_000;
    }

    /** Appends a record; the return of this call is the acknowledgement. */
    synchronized void put(String topic, String key, Object value) {
        String text = value == null ? "" : Json.write(value);
        append(topic, new Entry(key, text.getBytes(StandardCharsets.UTF_8)));
        record.line("store", "stored " + topic + " " + key + " " + text);
    }

    private void append(String topic, Entry entry) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(entry);
        notifyAll();
    }

    private List<Entry> entries(String topic) {
        return topics.getOrDefault(topic, List.of());
    }

    private synchronized HttpListener.Response answer(String host, HttpListener.Request request)
            throws InterruptedException {
        String topic = request.query().get("topic");
        lastReadNanos.put(host + " " + topic, System.nanoTime());
        return switch (request.path()) {
            case "/log-append" -> onAppend(topic, ByteBuffer.wrap(request.body()));
            case "/log-newest" -> onNewest(topic);
            case "/log-read" -> onRead(topic, request.query());
            default -> HttpListener.Response.json(404, Json.of());
        };
    }

    private HttpListener.Response onAppend(String topic, ByteBuffer body) {
        int first = entries(topic).size();
        while (body.hasRemaining()) {
            byte[] content = new byte[body.getInt()];
            body.get(content);
            int valueAt = 1 + (content[0] & 0xff);
            String key = new String(content, 1, valueAt - 1, StandardCharsets.UTF_8);
            append(topic, new Entry(key, Arrays.copyOfRange(content, valueAt, content.length)));
        }
        return HttpListener.Response.json(200, Json.of("offset", first, "end", entries(topic).size()));
    }

    private HttpListener.Response onNewest(String topic) {
        Map<String, Object> newest = new LinkedHashMap<>();
        List<Entry> entries = entries(topic);
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(entry.value());
                newest.put(entry.key(), Json.of("key", entry.key(), "value", value, "offset", offset));
            }
        }
        List<Object> items = new ArrayList<>(newest.values());
        return HttpListener.Response.json(200, Json.of("items", items, "has_more", false, "end", entries.size()));
    }

    private HttpListener.Response onRead(String topic, Map<String, String> query) throws InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long untilNanos = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        for (long left = 1; entries(topic).size() <= from && left > 0; ) {
            left = (untilNanos - System.nanoTime()) / 1_000_000;
            if (left > 0) {
                wait(left);
            }
        }
        List<Entry> entries = entries(topic);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(entries.size());
            out.writeLong(0);
            for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entry.value().length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entry.value());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return new HttpListener.Response(200, bytes.toByteArray());
    }
}
