package org.banyanspoke.cli.commands;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.cli.ExitCode;
import org.banyanspoke.cli.InputFile;
import org.banyanspoke.cli.Output;
import org.banyanspoke.cli.UsageException;

/** Subcommands that read log files of entry hosts: {@code explain}. They do not connect to an entry host. */
public final class LogCommands {
    private static final String JOB = "job";
    private static final String TIME = "time";
    private static final String HOST = "host";
    private static final String SERVER = "server";
    private static final String MESSAGE = "message";
    /** Fields not appended as {@code name=value}: they are printed first or present in every line. */
    private static final Set<String> EXCLUDED_FIELDS =
            Set.of(TIME, HOST, MESSAGE, JOB, "level", "logger", "thread", "zone", "kind");
    /** Server events at most this long before a line of the job are printed, as they may explain the loss of a run. */
    private static final long SERVER_EVENT_WINDOW_MILLIS = 3_000;

    private final InputFile input;

    /** Creates the subcommands for the given input. */
    public LogCommands(InputFile input) {
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        String help = "print the log lines of all entry hosts that concern one job, in chronological order";
        Command explain = this::explain;
        Subparser parser = parsers.addParser("explain")
                .help(help)
                .description(help + ". Preceding events of the servers that its lines name are included."
                        + " Exit code 1 if no line has the job id.")
                .setDefault("command", explain);
        parser.addArgument("job").metavar("ID").help("the caller's job id");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("+")
                .help("log file; text before the JSON of a line is ignored; - for standard input");
    }

    private ExitCode explain(Namespace arguments, Output output) throws UsageException {
        String job = arguments.getString("job");
        List<JsonNode> lines = new ArrayList<>();
        for (String file : arguments.<String>getList("files")) {
            lines.addAll(parseLines(input.readText(file)));
        }
        List<JsonNode> selected = selectLines(job, lines);
        if (selected.isEmpty()) {
            output.printError("no log line has the job id", "no log line has job id " + job);
            return ExitCode.MAY_HAVE_RUN;
        }
        String text =
                selected.stream().map(LogCommands::formatLine).collect(Collectors.joining(System.lineSeparator()));
        output.printResult(selected, text);
        return ExitCode.SUCCESS;
    }

    private static List<JsonNode> parseLines(String text) {
        List<JsonNode> lines = new ArrayList<>();
        text.lines().forEach(line -> {
            int start = line.indexOf('{');
            if (start < 0) {
                return;
            }
            try {
                lines.add(Json.mapper().readTree(line.substring(start)));
            } catch (JsonProcessingException e) {
                // Other programs may write to the same output; lines that are not JSON are ignored.
                return;
            }
        });
        return lines;
    }

    private static List<JsonNode> selectLines(String job, List<JsonNode> lines) {
        List<JsonNode> jobLines = lines.stream()
                .filter(line -> line.path(JOB).asText().equalsIgnoreCase(job))
                .toList();
        return lines.stream()
                .filter(line -> jobLines.contains(line)
                        || jobLines.stream().anyMatch(jobLine -> isRelatedServerEvent(line, jobLine)))
                .sorted(Comparator.comparing(line -> line.path(TIME).asText()))
                .toList();
    }

    /** Returns whether a line without a job is about the server of a job line and shortly precedes it. */
    private static boolean isRelatedServerEvent(JsonNode line, JsonNode jobLine) {
        if (line.has(JOB) || !jobLine.has(SERVER) || !line.path(SERVER).equals(jobLine.path(SERVER))) {
            return false;
        }
        long elapsedMillis = timeMillis(jobLine) - timeMillis(line);
        return elapsedMillis >= 0 && elapsedMillis <= SERVER_EVENT_WINDOW_MILLIS;
    }

    private static long timeMillis(JsonNode line) {
        try {
            return Instant.parse(line.path(TIME).asText()).toEpochMilli();
        } catch (DateTimeParseException e) {
            // Without a valid time, the line is outside the window of every other line.
            return Long.MIN_VALUE / 2;
        }
    }

    private static String formatLine(JsonNode line) {
        StringBuilder text = new StringBuilder()
                .append(line.path(TIME).asText())
                .append("  ")
                .append(line.path(HOST).asText())
                .append("  ")
                .append(line.path(MESSAGE).asText());
        for (Iterator<Map.Entry<String, JsonNode>> fields = line.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!EXCLUDED_FIELDS.contains(field.getKey())) {
                text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
