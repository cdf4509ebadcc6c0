package org.banyanspoke.host.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Stand-in for the platform's store: keyed records in topics of one partition. Can refuse calls or drop history. */
public final class StoreStandin {
    private static final int HEADER_BYTES = 16;

    /** A record; its content is what a read of the log returns. */
    private record Entry(String key, byte[] value, byte[] content) {
        Entry(String key, byte[] value) {
            this(key, value, content(key.getBytes(StandardCharsets.UTF_8), value));
        }

        private static byte[] content(byte[] key, byte[] value) {
            return Buffer.buffer()
                    .appendByte((byte) key.length)
                    .appendBytes(key)
                    .appendBytes(value)
                    .getBytes();
        }
    }

    /** A long-poll read that waits for a record. */
    private record PendingRead(HttpServerRequest request, String topic, int from) {}

    private final Vertx vertx;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final Map<String, Integer> firstRetained = new HashMap<>();
    private HttpServer server;
    private volatile boolean down;
    private final Set<HttpConnection> openConnections = new HashSet<>();
    private final Set<HttpConnection> silentConnections = new HashSet<>();

    /**
     * @param vertx provides the event loop
     */
    public StoreStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Listens on a free port. */
    public Future<HttpServer> start() {
        server = vertx.createHttpServer().connectionHandler(this::onConnected).requestHandler(this::handle);
        return server.listen(0, "127.0.0.1");
    }

    /** Returns {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the port on which the store listens. */
    public int port() {
        return server.actualPort();
    }

    private synchronized void onConnected(HttpConnection connection) {
        openConnections.add(connection);
        connection.closeHandler(unused -> onClosed(connection));
    }

    private synchronized void onClosed(HttpConnection connection) {
        openConnections.remove(connection);
        silentConnections.remove(connection);
    }

    /** Sends nothing more over the connections that are open now, without closing them. Returns their number. */
    public synchronized int silenceOpenConnections() {
        silentConnections.addAll(openConnections);
        return openConnections.size();
    }

    /** Returns the number of reads of a topic that wait for a record. */
    public synchronized long waitingReads(String topic) {
        return pendingReads.stream().filter(each -> each.topic().equals(topic)).count();
    }

    /** Sets whether all calls are refused with status 503. */
    public void setDown(boolean down) {
        this.down = down;
    }

    /** Discards the history of a topic; the newest record of each key remains. */
    public synchronized void dropHistory(String topic) {
        firstRetained.put(topic, size(topic));
    }

    /** Replaces a topic by an empty one, as if the store had been set up anew. */
    public synchronized void reset(String topic) {
        topics.remove(topic);
        firstRetained.remove(topic);
    }

    /** Appends a record, as an operator or a backend server does. */
    public synchronized void put(String topic, String key, JsonObject value) {
        append(topic, new Entry(key, value.toBuffer().getBytes()));
    }

    /** Appends a record with any value, as another writer might. */
    public synchronized void put(String topic, String key, byte[] value) {
        append(topic, new Entry(key, value));
    }

    /** Appends a record whose content need not be a key and a value, as another writer might. */
    public synchronized void putRaw(String topic, byte[] content) {
        append(topic, new Entry(null, new byte[0], content));
    }

    /**
     * Writes a configuration with one queue, as an operator does.
     *
     * @param stretch latency target of a job, as a multiple of its estimated run time
     */
    public void putConfiguration(int version, double stretch) {
        JsonObject route = new JsonObject()
                .put("name", "queue")
                .put("host", "127.0.0.1")
                .put("path_prefix", "/q/")
                .put("service", "service")
                .put("attempts", 3)
                .put("stretch", stretch)
                .put("target_latency_ms", 60);
        put(
                "keyed.op",
                "config",
                new JsonObject().put("version", version).put("routes", new JsonArray(List.of(route))));
    }

    /** Removes a key, as the platform does when a server stops responding. */
    public synchronized void remove(String topic, String key) {
        append(topic, new Entry(key, new byte[0]));
    }

    private void append(String topic, Entry entry) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(entry);
        List<PendingRead> ready =
                pendingReads.stream().filter(each -> each.topic().equals(topic)).toList();
        pendingReads.removeAll(ready);
        ready.forEach(this::answerRead);
    }

    private synchronized void handle(HttpServerRequest request) {
        if (silentConnections.contains(request.connection())) {
            return;
        }
        if (down) {
            var unused = request.response().setStatusCode(503).end();
            return;
        }
        String topic = request.getParam("topic");
        switch (request.path()) {
            case "/log-append" -> request.body().onSuccess(body -> onAppend(request, topic, body));
            case "/log-newest" -> onNewest(request, topic);
            case "/log-read" -> onRead(request, topic);
            default -> {
                var unused = request.response().setStatusCode(404).end();
            }
        }
    }

    private synchronized void onAppend(HttpServerRequest request, String topic, Buffer body) {
        int first = size(topic);
        int at = 0;
        while (at < body.length()) {
            int length = body.getInt(at);
            int keyLength = body.getByte(at + 4);
            String key = body.getString(at + 5, at + 5 + keyLength);
            append(topic, new Entry(key, body.getBytes(at + 5 + keyLength, at + 4 + length)));
            at += 4 + length;
        }
        answer(request, new JsonObject().put("offset", first).put("end", size(topic)));
    }

    private void onNewest(HttpServerRequest request, String topic) {
        Map<String, JsonObject> newest = new LinkedHashMap<>();
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            if (entry.key() == null) {
                continue;
            }
            newest.put(
                    entry.key(),
                    new JsonObject()
                            .put("key", entry.key())
                            .put("value", Base64.getEncoder().encodeToString(entry.value()))
                            .put("offset", offset));
        }
        answer(
                request,
                new JsonObject()
                        .put("items", new JsonArray(List.copyOf(newest.values())))
                        .put("has_more", false)
                        .put("end", entries.size()));
    }

    private void onRead(HttpServerRequest request, String topic) {
        int from = Integer.parseInt(request.getParam("from"));
        if (from < firstRetained.getOrDefault(topic, 0)) {
            JsonObject first = new JsonObject().put("first", firstRetained.get(topic));
            var unused = request.response().setStatusCode(410).end(first.toBuffer());
            return;
        }
        String wait = request.getParam("wait_ms");
        PendingRead read = new PendingRead(request, topic, from);
        if (wait == null || from < size(topic)) {
            answerRead(read);
            return;
        }
        pendingReads.add(read);
        vertx.setTimer(Long.parseLong(wait), unused -> endRead(read));
    }

    private synchronized void endRead(PendingRead read) {
        if (pendingReads.remove(read)) {
            answerRead(read);
        }
    }

    private void answerRead(PendingRead read) {
        if (silentConnections.contains(read.request().connection())) {
            return;
        }
        Buffer body = Buffer.buffer(HEADER_BYTES).appendLong(size(read.topic())).appendLong(0);
        List<Entry> entries = topics.getOrDefault(read.topic(), List.of());
        for (Entry entry : entries.subList(Math.min(read.from(), entries.size()), entries.size())) {
            body.appendInt(entry.content().length).appendBytes(entry.content());
        }
        var unused = read.request().response().end(body);
    }

    private int size(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }

    private static void answer(HttpServerRequest request, JsonObject body) {
        var unused = request.response().end(body.toBuffer());
    }
}
