package org.banyanspoke.bench.experiment;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.BenchRun;
import org.banyanspoke.bench.Shape;
import org.banyanspoke.bench.internal.CommandLine;

/** Command-line entry point of experiments; docs/bench.md describes the options. */
public final class ExperimentMain {
    private ExperimentMain() {}

    /** Executes the runs and writes the table. Exits with 1 if a run fails, with 2 if parsing the arguments fails. */
    public static void main(String[] args) throws InterruptedException {
        CommandLine.execute(parser(), args, ExperimentMain::run);
    }

    private static boolean run(Namespace arguments) throws IOException, InterruptedException {
        List<String> policies = arguments.getList("policies");
        List<BenchOptions> plan = RunKey.plan(baseOptions(arguments), arguments.getList("seeds"), policies);
        Path journalFile = Path.of(arguments.getString("journal"));
        RunJournal journal =
                arguments.getBoolean("resume") ? RunJournal.resume(journalFile) : RunJournal.create(journalFile);
        LoadAverageGate gate = new LoadAverageGate(
                () -> ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                arguments.getDouble("max_load"),
                Math.round(arguments.getDouble("max_wait") * 1_000));
        List<String> failures = new Experiment(plan, options -> new BenchRun(options).call(), gate, journal).call();
        failures.forEach(failure -> System.err.println("run failed: " + failure));
        write(plan, journal, policies, arguments.getString("table"));
        return failures.isEmpty();
    }

    private static void write(List<BenchOptions> plan, RunJournal journal, List<String> policies, String file)
            throws IOException {
        Set<RunKey> planned = plan.stream().map(RunKey::of).collect(Collectors.toSet());
        List<RunRecord> runs = journal.records().stream()
                .filter(run -> planned.contains(run.key()))
                .toList();
        String table = new ExperimentTable(runs, policies).toMarkdown();
        System.out.print(table);
        if (file != null) {
            Files.writeString(Path.of(file), table);
        }
    }

    private static List<BenchOptions> baseOptions(Namespace arguments) {
        Path home = Path.of(System.getProperty("banyanspoke.home", "."));
        Shape shape = Shape.valueOf(arguments.getString("shape").toUpperCase(Locale.ROOT));
        List<BenchOptions> options = new ArrayList<>();
        for (String scenario : arguments.<String>getList("scenarios")) {
            options.add(BenchOptions.of(
                    home,
                    scenario,
                    shape,
                    "adaptive",
                    1,
                    arguments.getDouble("seconds"),
                    arguments.getDouble("warmup"),
                    arguments.getDouble("scale"),
                    false,
                    arguments.getBoolean("delay")));
        }
        return options;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("experiment")
                .build()
                .description("Compares policies across scenarios and seeds; see docs/bench.md.");
        parser.addArgument("--scenarios").nargs("+").required(true).help("scenario names");
        parser.addArgument("--policies")
                .nargs("+")
                .choices("adaptive", "baseline")
                .setDefault(List.of("baseline", "adaptive"));
        parser.addArgument("--seeds").nargs("+").type(Long.class).setDefault(List.of(1L, 2L, 3L));
        parser.addArgument("--shape").choices("kilima", "daugava").setDefault("kilima");
        parser.addArgument("--seconds")
                .type(Double.class)
                .help("measurement time in seconds; default depends on the scenario");
        parser.addArgument("--warmup")
                .type(Double.class)
                .help("warm-up time under load before the measurement, in seconds");
        parser.addArgument("--scale").type(Double.class).setDefault(0.333);
        parser.addArgument("--delay").action(Arguments.storeTrue()).help("simulate the network delay of the site");
        parser.addArgument("--max-load")
                .type(Double.class)
                .setDefault(Double.POSITIVE_INFINITY)
                .help("load average below which a run starts");
        parser.addArgument("--max-wait")
                .type(Double.class)
                .setDefault(60.0)
                .help("maximum wait for this load average, in seconds");
        parser.addArgument("--journal").required(true).help("journal file with one JSON line per run");
        parser.addArgument("--resume").action(Arguments.storeTrue()).help("skip the runs in the journal");
        parser.addArgument("--table").help("write the Markdown table to this file");
        return parser;
    }
}
