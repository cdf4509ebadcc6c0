package org.banyanspoke.bench.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.json.Json;

/** A file with one JSON line for each run that has ended. */
public final class RunJournal {
    private final Path file;
    private final List<RunRecord> records;

    private RunJournal(Path file, List<RunRecord> records) {
        this.file = file;
        this.records = new ArrayList<>(records);
    }

    /**
     * Starts a journal.
     *
     * @throws IOException if the file exists or cannot be created
     */
    public static RunJournal create(Path file) throws IOException {
        Files.writeString(file, "", StandardOpenOption.CREATE_NEW);
        return new RunJournal(file, List.of());
    }

    /**
     * Continues a journal, or starts it if there is no file. An interrupted write leaves a last line without its end;
     * that line is removed, so that its run is repeated.
     *
     * @throws IOException if the file cannot be read or written, or another line is not a run
     */
    public static RunJournal resume(Path file) throws IOException {
        if (!Files.exists(file)) {
            return create(file);
        }
        String text = Files.readString(file);
        String whole = text.substring(0, text.lastIndexOf('\n') + 1);
        List<RunRecord> records = new ArrayList<>();
        for (String line : whole.lines().toList()) {
            records.add(parse(file, line));
        }
        Files.writeString(file, whole);
        return new RunJournal(file, records);
    }

    private static RunRecord parse(Path file, String line) throws IOException {
        try {
            return Json.mapper().readValue(line, RunRecord.class);
        } catch (JsonProcessingException e) {
            throw new IOException(file + " has a line that is no run: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Adds a run.
     *
     * @throws IOException if the file cannot be written
     */
    public void add(RunRecord run) throws IOException {
        String line = Json.mapper().writeValueAsString(run) + "\n";
        Files.writeString(file, line, StandardOpenOption.APPEND);
        records.add(run);
    }

    /** Returns whether a run with this key has ended. */
    public boolean contains(RunKey key) {
        return records.stream().anyMatch(run -> run.key().equals(key));
    }

    /** Returns all runs in the order in which they ended. */
    public List<RunRecord> records() {
        return List.copyOf(records);
    }
}
