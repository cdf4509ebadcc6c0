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

/** Executes one fault run; exits with 0 if no rule is violated, 1 if one is and 2 on a usage error. */
public final class Main {
    private Main() {}

    /** Parses the arguments, see {@code --help}, and executes the run. */
    public static void main(String[] args) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("fault-run")
                .build()
                .description("Injects random faults, generated from a seed, into a test cluster under load.");
        parser.addArgument("--seed").type(Long.class).required(true);
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(20)
                .help("length of the fault schedule in seconds");
        parser.addArgument("--out")
                .setDefault("fault-runs")
                .help("output directory for the history, schedule and process output");
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
        boolean passed = result.violations().isEmpty();
        System.out.println("seed " + seed + ": "
                + (passed ? "green" : "RED " + result.violations().keySet()) + ", "
                + result.schedule().size() + " faults, jobs by outcome " + result.jobsByOutcome());
        System.exit(passed ? 0 : 1);
    }

    private static void write(Path out, long seed, FaultRun.Result result) throws Exception {
        Files.writeString(
                out.resolve("seed-" + seed + ".history.jsonl"), result.history().toJsonLines());
        Files.writeString(
                out.resolve("seed-" + seed + ".json"),
                Json.mapper()
                        .writer(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(Map.of("schedule", result.schedule(), "violations", result.violations())));
        Files.writeString(out.resolve("seed-" + seed + ".out"), result.outputTails());
    }
}
