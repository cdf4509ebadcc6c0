package org.banyanspoke.bench.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.json.Json;

/** A file with one JSON line per completed run. */
public final class RunJournal {
    private final Path file;
    private final List<RunRecord> records;

    private RunJournal(Path file, List<RunRecord> records) {
        this.file = file;
        this.records = new ArrayList<>(records);
    }

    /**
     * Creates a journal.
     *
     * @throws IOException if the file exists or cannot be created
     */
    public static RunJournal create(Path file) throws IOException {
        Files.writeString(file, "", StandardOpenOption.CREATE_NEW);
        return new RunJournal(file, List.of());
    }

    /**
     * Opens an existing journal, or creates it if the file does not exist. A truncated last line, left by an
     * interrupted write, is removed so that its run is repeated.
     *
     * @throws IOException if the file cannot be read or written, or another line is malformed
     */
    public static RunJournal resume(Path file) throws IOException {
        if (!Files.exists(file)) {
            return create(file);
        }
        String text = Files.readString(file);
        String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
        List<RunRecord> records = new ArrayList<>();
        for (String line : completeLines.lines().toList()) {
            records.add(parse(file, line));
        }
        Files.writeString(file, completeLines);
        return new RunJournal(file, records);
    }

    private static RunRecord parse(Path file, String line) throws IOException {
        try {
            return Json.mapper().readValue(line, RunRecord.class);
        } catch (JsonProcessingException e) {
            throw new IOException(file + " contains a malformed run record: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Appends a run.
     *
     * @throws IOException if the file cannot be written
     */
    public void add(RunRecord run) throws IOException {
        String line = Json.mapper().writeValueAsString(run) + "\n";
        Files.writeString(file, line, StandardOpenOption.APPEND);
        records.add(run);
    }

    /** Returns whether the journal has a run with this key. */
    public boolean contains(RunKey key) {
        return records.stream().anyMatch(run -> run.key().equals(key));
    }

    /** Returns all runs in order of completion. */
    public List<RunRecord> records() {
        return List.copyOf(records);
    }
}
