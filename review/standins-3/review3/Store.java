package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: the log calls that the system uses, with one partition for each topic. */
final class Store {
    private final HttpServer server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    /** Offset of the newest record of each key, by topic; the oldest of them first. */
    private final Map<String, Map<String, Integer>> newest = new HashMap<>();

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Daemons.FACTORY));
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    /** Appends a keyed record, as the operator or a minion does. */
    void put(String topic, String key, Object value) {
        putText(topic, key, value == null ? "" : Json.write(value));
    }

    /** Appends a keyed record whose value is a text. */
    void putText(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] content = new byte[1 + keyBytes.length + valueBytes.length];
        content[0] = (byte) keyBytes.length;
        System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
        System.arraycopy(valueBytes, 0, content, 1 + keyBytes.length, valueBytes.length);
        append(topic, content);
    }

    private synchronized long append(String topic, byte[] content) {
        List<byte[]> log = topics.computeIfAbsent(topic, key -> new ArrayList<>());
        log.add(content);
        if (topic.startsWith("keyed.")) {
            recordNewest(topic, content, log.size() - 1);
        }
        notifyAll();
        return log.size() - 1;
    }

    private void recordNewest(String topic, byte[] content, int offset) {
        Map<String, Integer> offsets = newest.computeIfAbsent(topic, key -> new LinkedHashMap<>());
        String key = new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
        offsets.remove(key);
        if (content.length > 1 + (content[0] & 0xff)) {
            offsets.put(key, offset);
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = new HashMap<>();
            for (String each : exchange.getRequestURI().getRawQuery().split("&")) {
                int equals = each.indexOf('=');
                query.put(
                        each.substring(0, equals),
                        java.net.URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
            }
            byte[] body = exchange.getRequestBody().readAllBytes();
            switch (exchange.getRequestURI().getPath()) {
                case "/log-append" -> onAppend(exchange, query, body);
                case "/log-read" -> onRead(exchange, query);
                case "/log-newest" -> onNewest(exchange, query);
                default -> answer(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onAppend(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        long first = -1;
        long end = 0;
        int at = 0;
        synchronized (this) {
            while (at + 4 <= body.length) {
                int length = java.nio.ByteBuffer.wrap(body, at, 4).getInt();
                long offset = append(query.get("topic"), Arrays.copyOfRange(body, at + 4, at + 4 + length));
                first = first < 0 ? offset : first;
                end = offset + 1;
                at += 4 + length;
            }
        }
        answer(exchange, 200, Json.write(Map.of("offset", first, "end", end)).getBytes(StandardCharsets.UTF_8));
    }

    private void onRead(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (this) {
            List<byte[]> log = topics.computeIfAbsent(query.get("topic"), key -> new ArrayList<>());
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            while (log.size() <= from && leftMillis > 0) {
                wait(leftMillis);
                leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            }
            out.writeLong(log.size());
            out.writeLong(0);
            for (byte[] each : log.subList(Math.min(from, log.size()), log.size())) {
                out.writeInt(each.length);
                out.write(each);
            }
        }
        answer(exchange, 200, bytes.toByteArray());
    }

    private void onNewest(HttpExchange exchange, Map<String, String> query) throws IOException {
        List<Object> items = new ArrayList<>();
        long end;
        synchronized (this) {
            List<byte[]> log = topics.computeIfAbsent(query.get("topic"), key -> new ArrayList<>());
            end = log.size();
            newest.getOrDefault(query.get("topic"), Map.of()).forEach((key, offset) -> {
                byte[] content = log.get(offset);
                byte[] value = Arrays.copyOfRange(content, 1 + (content[0] & 0xff), content.length);
                items.add(Map.of("key", key, "value", Base64.getEncoder().encodeToString(value), "offset", offset));
            });
        }
        answer(
                exchange,
                200,
                Json.write(Map.of("items", items, "has_more", false, "end", end))
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }
}
