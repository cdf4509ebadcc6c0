package org.banyanspoke.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.json.Json;

/** Prints results for people or, with {@code --json}, one JSON value for programs. */
public final class Output {
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    /**
     * @param out receives results
     * @param err receives progress and errors
     * @param json whether results are printed as JSON
     */
    public Output(PrintStream out, PrintStream err, boolean json) {
        this.out = out;
        this.err = err;
        this.json = json;
    }

    /** Prints a result: the value as JSON, or the text for people. */
    public void result(Object value, String text) {
        if (json) {
            out.println(toJson(value));
        } else {
            out.println(text);
        }
    }

    /** Prints a JSON document for people: objects as {@code name: value} lines, lists of objects as tables. */
    public void document(JsonNode node) {
        result(node, node.isArray() ? table(node) : lines(node));
    }

    /** Prints a JSON document; people get a line of text after it. */
    public void document(JsonNode node, String line) {
        result(node, lines(node) + System.lineSeparator() + line);
    }

    /** Prints progress to the error stream; nothing with {@code --json}. */
    public void progress(String text) {
        if (!json) {
            err.println(text);
        }
    }

    /** Prints an error: as JSON on the result stream with {@code --json}, else as text on the error stream. */
    public void error(Object value, String text) {
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
            throw new IllegalStateException("a value of type " + value.getClass() + " has no JSON form", e);
        }
    }

    private static String lines(JsonNode node) {
        if (!node.isObject()) {
            return cell(node);
        }
        StringBuilder text = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> i = node.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> field = i.next();
            text.append(field.getKey()).append(": ").append(cell(field.getValue()));
            if (i.hasNext()) {
                text.append(System.lineSeparator());
            }
        }
        return text.toString();
    }

    private static String table(JsonNode rows) {
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
        rows.forEach(row ->
                cells.add(columns.stream().map(column -> cell(row.path(column))).toList()));
        return align(cells);
    }

    private static String align(List<List<String>> rows) {
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

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
