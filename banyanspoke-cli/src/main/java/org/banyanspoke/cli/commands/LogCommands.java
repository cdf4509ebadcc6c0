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

/** Subcommands for the logs of entry hosts: {@code explain}. They use no entry host. */
public final class LogCommands {
    private static final String JOB = "job";
    private static final String TIME = "time";
    private static final String HOST = "host";
    private static final String SERVER = "server";
    private static final String MESSAGE = "message";
    /** Fields that every line has, or that are shown first. */
    private static final Set<String> SHOWN_FIRST =
            Set.of(TIME, HOST, MESSAGE, JOB, "level", "logger", "thread", "zone", "kind");
    /** What is believed of a server before a run on it is lost belongs to the story of that run. */
    private static final long BEFORE_MILLIS = 3_000;

    private final InputFile input;

    /** Creates the subcommands. */
    public LogCommands(InputFile input) {
        this.input = input;
    }

    /** Adds the subcommands to a parser. */
    public void register(Subparsers parsers) {
        String help = "print the story of one job from the log lines of all entry hosts, in order of time";
        Command explain = this::explain;
        Subparser parser = parsers.addParser("explain")
                .help(help)
                .description(help + ". Lines about the servers on which its runs were lost are included."
                        + " Exit code 1 if no line names the job.")
                .setDefault("command", explain);
        parser.addArgument("job").metavar("ID").help("the caller's job id");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("+")
                .help("log output; text before a line's JSON is skipped; - for standard input");
    }

    private ExitCode explain(Namespace arguments, Output output) throws UsageException {
        String job = arguments.getString("job");
        List<JsonNode> lines = new ArrayList<>();
        for (String file : arguments.<String>getList("files")) {
            lines.addAll(parse(input.text(file)));
        }
        List<JsonNode> story = story(job, lines);
        if (story.isEmpty()) {
            output.error("no line names the job", "no line names job " + job);
            return ExitCode.MAY_HAVE_RUN;
        }
        String text = story.stream().map(LogCommands::text).collect(Collectors.joining(System.lineSeparator()));
        output.result(story, text);
        return ExitCode.SUCCESS;
    }

    private static List<JsonNode> parse(String text) {
        List<JsonNode> lines = new ArrayList<>();
        text.lines().forEach(line -> {
            int start = line.indexOf('{');
            if (start < 0) {
                return;
            }
            try {
                lines.add(Json.mapper().readTree(line.substring(start)));
            } catch (JsonProcessingException e) {
                // Other programs write to the same output; a line that is not one of ours has nothing to tell.
                return;
            }
        });
        return lines;
    }

    private static List<JsonNode> story(String job, List<JsonNode> lines) {
        List<JsonNode> own = lines.stream()
                .filter(line -> line.path(JOB).asText().equalsIgnoreCase(job))
                .toList();
        return lines.stream()
                .filter(line -> own.contains(line) || own.stream().anyMatch(each -> explains(line, each)))
                .sorted(Comparator.comparing(line -> line.path(TIME).asText()))
                .toList();
    }

    /** Whether a line tells of the server on which a run was lost, shortly before. */
    private static boolean explains(JsonNode line, JsonNode lost) {
        if (line.has(JOB) || !lost.has(SERVER) || !line.path(SERVER).equals(lost.path(SERVER))) {
            return false;
        }
        long beforeMillis = millis(lost) - millis(line);
        return beforeMillis >= 0 && beforeMillis <= BEFORE_MILLIS;
    }

    private static long millis(JsonNode line) {
        try {
            return Instant.parse(line.path(TIME).asText()).toEpochMilli();
        } catch (DateTimeParseException e) {
            // A line without a time explains nothing; it is far from every other one.
            return Long.MIN_VALUE / 2;
        }
    }

    private static String text(JsonNode line) {
        StringBuilder text = new StringBuilder()
                .append(line.path(TIME).asText())
                .append("  ")
                .append(line.path(HOST).asText())
                .append("  ")
                .append(line.path(MESSAGE).asText());
        for (Iterator<Map.Entry<String, JsonNode>> each = line.fields(); each.hasNext(); ) {
            Map.Entry<String, JsonNode> field = each.next();
            if (!SHOWN_FIRST.contains(field.getKey())) {
                text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
