package org.banyanspoke.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.banyanspoke.api.json.Json;

/** Reads JSON with comments from a file, or from standard input if the name is {@code -}. */
public final class InputFile {
    private final InputStream standardInput;

    /** Creates a reader with this standard input. */
    public InputFile(InputStream standardInput) {
        this.standardInput = standardInput;
    }

    /**
     * Reads one value.
     *
     * @throws UsageException if the file cannot be read or is not valid, with the line and column
     */
    public <T> T read(String name, Class<T> type) throws UsageException {
        try {
            return Json.mapperWithComments().readValue(text(name), type);
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw new UsageException("\"" + name + "\" is not valid" + where + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Reads the text of a file.
     *
     * @throws UsageException if it cannot be read
     */
    public String text(String name) throws UsageException {
        try {
            return name.equals("-")
                    ? new String(standardInput.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(name));
        } catch (IOException e) {
            throw new UsageException("\"" + name + "\" cannot be read: " + e.getMessage());
        }
    }
}
