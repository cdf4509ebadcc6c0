package org.banyanspoke.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.json.Json;

/** Prints results as human-readable text or, with {@code --json}, as one JSON value. */
public final class Output {
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    /**
     * @param out stream for results
     * @param err stream for progress and errors
     * @param json whether results are printed as JSON
     */
    public Output(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Prints a result: with {@code --json} the value as JSON, else the text. */
    public void printResult(Object value, String text) {
        if (json) {
            out.println(toJson(value));
        } else {
            out.println(text);
        }
    }

    /** Prints a JSON document; as text, an object becomes {@code name: value} lines and an array of objects a table. */
    public void printDocument(JsonNode node) {
        printResult(node, node.isArray() ? formatTable(node) : formatFields(node));
    }

    /** Prints a JSON object; as text, it is followed by a line. */
    public void printDocument(JsonNode node, String line) {
        printResult(node, formatFields(node) + System.lineSeparator() + line);
    }

    /** Prints progress to the error stream, or nothing with {@code --json}. */
    public void printProgress(String text) {
        if (!json) {
            err.println(text);
        }
    }

    /** Prints an error: with {@code --json} as JSON to the result stream, else as text to the error stream. */
    public void printError(Object value, String text) {
        if (json) {
            out.println(toJson(Map.of("error", value)));
        } else {
            err.println("error: " + text);
        }
    }

    private static String toJson(Object value) {
        try {
            return Json.mapper().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a value of type " + value.getClass() + " cannot be serialized as JSON", e);
        }
    }

    private static String formatFields(JsonNode node) {
        if (!node.isObject()) {
            return formatCell(node);
        }
        StringBuilder text = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> i = node.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> field = i.next();
            text.append(field.getKey()).append(": ").append(formatCell(field.getValue()));
            if (i.hasNext()) {
                text.append(System.lineSeparator());
            }
        }
        return text.toString();
    }

    private static String formatTable(JsonNode rows) {
        if (rows.isEmpty()) {
            return "none";
        }
        List<String> columns = new ArrayList<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(name -> {
            if (!columns.contains(name)) {
                columns.add(name);
            }
        }));
        List<List<String>> cells = new ArrayList<>();
        cells.add(columns);
        rows.forEach(row -> cells.add(
                columns.stream().map(column -> formatCell(row.path(column))).toList()));
        return alignColumns(cells);
    }

    private static String alignColumns(List<List<String>> rows) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(String.format("%-" + (widths[i] + 2) + "s", row.get(i)));
            }
            text.append(text.isEmpty() ? "" : System.lineSeparator())
                    .append(line.toString().stripTrailing());
        }
        return text.toString();
    }

    private static String formatCell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
