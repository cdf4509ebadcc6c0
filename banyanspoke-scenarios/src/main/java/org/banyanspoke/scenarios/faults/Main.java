package org.banyanspoke.scenarios.faults;

import com.fasterxml.jackson.databind.SerializationFeature;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.api.json.Json;

/** Runs one fault run; exits with 0 if no rule is broken and with 1 otherwise. */
public final class Main {
    private Main() {}

    /** Starts the run; see {@code --help}. */
    public static void main(String[] args) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("fault-run").build().description("Random faults from a seed.");
        parser.addArgument("--seed").type(Long.class).required(true);
        parser.addArgument("--seconds").type(Integer.class).setDefault(20).help("time during which faults happen");
        parser.addArgument("--out").setDefault("fault-runs").help("directory of history and schedule");
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        long seed = arguments.getLong("seed");
        Path home = Path.of(System.getProperty("banyanspoke.home"));
        FaultRun.Result result = new FaultRun(home, seed, arguments.getInt("seconds") * 1_000L).run();
        Path out = Files.createDirectories(Path.of(arguments.getString("out")));
        write(out, seed, result);
        boolean green = result.violations().isEmpty();
        System.out.println("seed " + seed + ": "
                + (green ? "green" : "RED " + result.violations().keySet()) + ", "
                + result.schedule().size() + " faults, jobs by end " + result.ends());
        System.exit(green ? 0 : 1);
    }

    private static void write(Path out, long seed, FaultRun.Result result) throws Exception {
        Files.writeString(
                out.resolve("seed-" + seed + ".history.jsonl"), result.history().toJsonLines());
        Files.writeString(
                out.resolve("seed-" + seed + ".json"),
                Json.mapper()
                        .writer(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(Map.of("schedule", result.schedule(), "violations", result.violations())));
        Files.writeString(out.resolve("seed-" + seed + ".out"), result.outputs());
    }
}
