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
 * Ledger of every task start and finish on a fleet of backend servers, written as JSON lines:
 *
 * <pre>{"event":"start","server":"b0","jobId":"...","taskId":"t1","attempt":"...","atNanos":1,"atMillis":1}
 * {"event":"finish",...,"outcome":"DONE"}</pre>
 *
 * <p>{@code atNanos} is {@link System#nanoTime()}, which is comparable between processes on the same Linux machine.
 * Thread-safe.
 */
public final class Ledger implements AutoCloseable {
    private static final int MAX_LISTED_DUPLICATES = 100;

    /** Kind of request received by the fleet. */
    public enum RequestKind {
        /** {@code POST /tasks/...}, including those that are refused. */
        TASK,
        /** {@code POST /tasks/...} answered with {@code Task-Started: false}. */
        REFUSED,
        /** {@code DELETE /tasks/...}. */
        STOP,
        /** {@code GET /health}. */
        HEALTH
    }

    /**
     * Task that was started more than once.
     *
     * @param jobId job id
     * @param taskId task id
     * @param starts number of starts
     */
    public record Duplicate(String jobId, String taskId, int starts) {}

    /**
     * Totals since the creation of the ledger.
     *
     * @param starts number of task starts
     * @param tasks number of distinct tasks started
     * @param duplicateStarts starts beyond the first of each task
     * @param duplicates at most 100 of the tasks started more than once
     * @param outcomes finishes by outcome
     * @param requests requests by kind
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
     * @param file output file; null for no output
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

    public synchronized void countRequest(RequestKind kind) {
        requests.merge(kind, 1L, Long::sum);
    }

    /** Records the start of a task. */
    public synchronized void recordStart(String server, TaskAttemptId id) {
        starts++;
        startsByServer.merge(server, 1L, Long::sum);
        int count =
                startsByJob.computeIfAbsent(id.jobId(), job -> new HashMap<>()).merge(id.taskId(), 1, Integer::sum);
        if (count == 1) {
            tasks++;
        }
        write("start", server, id, null);
    }

    /** Records the end of a started task. */
    public synchronized void recordFinish(String server, TaskAttemptId id, Outcome outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
        write("finish", server, id, outcome);
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

    /** Returns the number of starts of each task of a job, by task id. */
    public synchronized Map<String, Integer> startsByTask(String jobId) {
        return new TreeMap<>(startsByJob.getOrDefault(jobId, Map.of()));
    }

    /** Flushes buffered lines to the file. */
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

    private void write(String event, String server, TaskAttemptId id, Outcome outcome) {
        try {
            generator.writeStartObject();
            generator.writeStringField("event", event);
            generator.writeStringField("server", server);
            generator.writeStringField("jobId", id.jobId());
            generator.writeStringField("taskId", id.taskId());
            generator.writeStringField("attempt", id.attempt());
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
