package org.banyanspoke.standins.backend;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Record of every start and finish on a fleet of backend servers, as JSON lines:
 *
 * <pre>{"event":"start","server":"b0","jobId":"...","taskId":"t1","attempt":"...","atNanos":1,"atMillis":1}
 * {"event":"finish",...,"outcome":"DONE"}</pre>
 *
 * <p>{@code atNanos} is {@link System#nanoTime()}, which all processes of one Linux machine share. Thread safe.
 */
public final class Ledger implements AutoCloseable {
    private static final int MAX_LISTED_DUPLICATES = 100;

    /** Requests that the fleet received, by purpose. */
    public enum RequestKind {
        /** {@code POST /tasks/...}. */
        TASK,
        /** {@code POST /tasks/...} answered as not started. */
        REFUSED,
        /** {@code DELETE /tasks/...}. */
        STOP,
        /** {@code GET /health}. */
        HEALTH
    }

    /**
     * A task started more than once.
     *
     * @param jobId the job
     * @param taskId the task
     * @param starts number of starts
     */
    public record Duplicate(String jobId, String taskId, int starts) {}

    /**
     * Totals since the start.
     *
     * @param starts starts of tasks
     * @param tasks different tasks started
     * @param duplicateStarts starts beyond the first of each task
     * @param duplicates the first 100 tasks started more than once
     * @param outcomes finishes by outcome
     * @param requests requests by purpose
     * @param startsByServer starts by server id
     */
    public record Summary(
            long starts,
            long tasks,
            long duplicateStarts,
            List<Duplicate> duplicates,
            Map<Outcome, Long> outcomes,
            Map<RequestKind, Long> requests,
            Map<String, Long> startsByServer) {}

    private final JsonFactory factory = new JsonFactory();
    private final Writer writer;
    private final JsonGenerator generator;
    private final Map<String, Map<String, Integer>> startsByJob = new HashMap<>();
    private final Map<Outcome, Long> outcomes = new TreeMap<>();
    private final Map<RequestKind, Long> requests = new TreeMap<>();
    private final Map<String, Long> startsByServer = new TreeMap<>();
    private long starts;
    private long tasks;

    /**
     * @param file receives the lines; null for none
     * @throws IOException if the file cannot be opened
     */
    public Ledger(Path file) throws IOException {
        writer = file == null
                ? Writer.nullWriter()
                : new BufferedWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), 1 << 16);
        generator = factory.createGenerator(writer);
        generator.setRootValueSeparator(null);
        generator.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    }

    /** Counts a request. */
    public synchronized void received(RequestKind kind) {
        requests.merge(kind, 1L, Long::sum);
    }

    /** Records a start. */
    public synchronized void started(String server, TaskKey key) {
        starts++;
        startsByServer.merge(server, 1L, Long::sum);
        int count =
                startsByJob.computeIfAbsent(key.jobId(), job -> new HashMap<>()).merge(key.taskId(), 1, Integer::sum);
        if (count == 1) {
            tasks++;
        }
        write("start", server, key, null);
    }

    /** Records the end of a started task. */
    public synchronized void finished(String server, TaskKey key, Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
        write("finish", server, key, outcome);
    }

    /** Returns the totals. */
    public synchronized Summary summary() {
        List<Duplicate> duplicates = new ArrayList<>();
        startsByJob.forEach((job, counts) -> counts.forEach((task, count) -> {
            if (count > 1 && duplicates.size() < MAX_LISTED_DUPLICATES) {
                duplicates.add(new Duplicate(job, task, count));
            }
        }));
        return new Summary(
                starts,
                tasks,
                starts - tasks,
                duplicates,
                new TreeMap<>(outcomes),
                new TreeMap<>(requests),
                new TreeMap<>(startsByServer));
    }

    /** Returns how often a task of a job was started, by task id. */
    public synchronized Map<String, Integer> startsOf(String jobId) {
        return new TreeMap<>(startsByJob.getOrDefault(jobId, Map.of()));
    }

    /** Writes buffered lines to the file. */
    public synchronized void flush() {
        try {
            generator.flush();
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        generator.close();
        writer.close();
    }

    private void write(String event, String server, TaskKey key, Outcome outcome) {
        try {
            generator.writeStartObject();
            generator.writeStringField("event", event);
            generator.writeStringField("server", server);
            generator.writeStringField("jobId", key.jobId());
            generator.writeStringField("taskId", key.taskId());
            generator.writeStringField("attempt", key.attempt());
            generator.writeNumberField("atNanos", System.nanoTime());
            generator.writeNumberField("atMillis", System.currentTimeMillis());
            if (outcome != null) {
                generator.writeStringField("outcome", outcome.name());
            }
            generator.writeEndObject();
            generator.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
