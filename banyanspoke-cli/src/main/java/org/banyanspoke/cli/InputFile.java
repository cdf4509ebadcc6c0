package org.banyanspoke.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.banyanspoke.api.json.Json;

/** Reads input from a file, or from standard input if the file name is {@code -}. */
public final class InputFile {
    private final InputStream standardInput;

    /** Creates a reader with the given standard input. */
    public InputFile(InputStream standardInput) {
        this.standardInput = standardInput;
    }

    /**
     * Reads a JSON value; comments are allowed.
     *
     * @throws UsageException if the file cannot be read or is invalid; the message has the line and column
     */
    public <T> T readJson(String name, Class<T> type) throws UsageException {
        try {
            return Json.mapperWithComments().readValue(readText(name), type);
        } catch (JsonProcessingException e) {
            String position = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw new UsageException("\"" + name + "\" is invalid" + position + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Reads a file as text.
     *
     * @throws UsageException if the file cannot be read
     */
    public String readText(String name) throws UsageException {
        try {
            return name.equals("-")
                    ? new String(standardInput.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(name));
        } catch (IOException e) {
            throw new UsageException("\"" + name + "\" cannot be read: " + e.getMessage());
        }
    }
}
