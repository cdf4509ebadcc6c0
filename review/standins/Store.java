import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: topics with one partition of keyed records. */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private record Entry(String key, byte[] value, byte[] content) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final HttpListener http;

    Store() throws IOException {
        http = new HttpListener(0, this::handle);
    }

    int port() {
        return http.port();
    }

    String address() {
        return "127.0.0.1:" + http.port();
    }

    void close() {
        http.close();
    }

    /** Appends a record, as the operator or a minion does; returns once it is acknowledged. */
    void put(String topic, String key, Object value) {
        append(topic, key, Json.write(value).getBytes(StandardCharsets.UTF_8));
    }

    private synchronized int append(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = new byte[1 + name.length + value.length];
        content[0] = (byte) name.length;
        System.arraycopy(name, 0, content, 1, name.length);
        System.arraycopy(value, 0, content, 1 + name.length, value.length);
        List<Entry> log = log(topic);
        log.add(new Entry(key, value, content));
        notifyAll();
        return log.size() - 1;
    }

    private List<Entry> log(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private HttpListener.Answer handle(HttpListener.Request request) throws Exception {
        String topic = request.query().get("topic");
        return switch (request.path()) {
            case "/log-append" -> onAppend(topic, request.body());
            case "/log-read" -> onRead(topic, request.query());
            case "/log-newest" -> onNewest(topic, request.query().get("after"));
            default -> HttpListener.Answer.json(404, Map.of());
        };
    }

    private synchronized HttpListener.Answer onAppend(String topic, byte[] body) {
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            return HttpListener.Answer.json(403, Map.of());
        }
        int first = log(topic).size();
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] content = new byte[records.getInt()];
            records.get(content);
            int keyLength = content[0] & 0xff;
            append(
                    topic,
                    new String(content, 1, keyLength, StandardCharsets.UTF_8),
                    Arrays.copyOfRange(content, 1 + keyLength, content.length));
        }
        return HttpListener.Answer.json(200, Map.of("offset", first, "end", log(topic).size()));
    }

    private synchronized HttpListener.Answer onRead(String topic, Map<String, String> query) throws Exception {
        int from = Integer.parseInt(query.get("from"));
        long until = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (log(topic).size() <= from && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        List<Entry> log = log(topic);
        out.writeLong(log.size());
        out.writeLong(0);
        for (Entry entry : log.subList(Math.min(from, log.size()), log.size())) {
            out.writeInt(entry.content().length);
            out.write(entry.content());
        }
        return new HttpListener.Answer(200, bytes.toByteArray());
    }

    private synchronized HttpListener.Answer onNewest(String topic, String after) {
        TreeMap<String, Map<String, Object>> newest = new TreeMap<>();
        List<Entry> log = log(topic);
        for (int offset = 0; offset < log.size(); offset++) {
            Entry entry = log.get(offset);
            if (entry.value().length == 0) {
                newest.remove(entry.key());
            } else {
                String value = Base64.getEncoder().encodeToString(entry.value());
                newest.put(entry.key(), Map.of("key", entry.key(), "value", value, "offset", offset));
            }
        }
        List<Map<String, Object>> items =
                new ArrayList<>((after == null ? newest : newest.tailMap(after, false)).values());
        boolean more = items.size() > PAGE_ITEMS;
        return HttpListener.Answer.json(
                200,
                Map.of("items", more ? items.subList(0, PAGE_ITEMS) : items, "has_more", more, "end", log.size()));
    }
}
