package org.banyanspoke.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.HdrHistogram.Histogram;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.bench.internal.CommandLine;
import org.banyanspoke.bench.internal.RatioPlot;

/** Command-line entry point of the bench. The last line of standard output is one JSON object. */
public final class Main {
    private Main() {}

    /** Runs the scenario given by the arguments; see {@code --help}. Exits with 1 if a run fails. */
    public static void main(String[] args) throws InterruptedException {
        CommandLine.execute(parser(), args, Main::run);
    }

    private static boolean run(Namespace arguments) throws IOException, InterruptedException {
        BenchOptions options = options(arguments);
        List<Report> reports = new ArrayList<>();
        Histogram ratios = new Histogram(3);
        for (int i = 0; i < arguments.getInt("repeat"); i++) {
            BenchRun run = new BenchRun(options.withSeed(options.seed() + i));
            Report report = run.call();
            System.out.println(toJson(report));
            reports.add(report);
            ratios.add(run.ratios());
        }
        Object result = reports.size() == 1 ? reports.get(0) : Spread.of(reports);
        if (reports.size() > 1) {
            System.out.println(toJson(result));
        }
        write(arguments, result, ratios);
        return true;
    }

    private static void write(Namespace arguments, Object result, Histogram ratios) throws IOException {
        if (arguments.getString("json") != null) {
            Files.writeString(Path.of(arguments.getString("json")), toJson(result) + "\n");
        }
        if (arguments.getString("plot") != null) {
            RatioPlot.write(ratios, arguments.getString("scenario"), Path.of(arguments.getString("plot")));
        }
    }

    private static String toJson(Object result) throws JsonProcessingException {
        return Json.mapper().writeValueAsString(result);
    }

    private static BenchOptions options(Namespace arguments) {
        return BenchOptions.of(
                Path.of(System.getProperty("banyanspoke.home", ".")),
                arguments.getString("scenario"),
                Shape.valueOf(arguments.getString("shape").toUpperCase(Locale.ROOT)),
                arguments.getString("policy"),
                arguments.getLong("seed"),
                arguments.getDouble("seconds"),
                arguments.getDouble("warmup"),
                arguments.getDouble("scale"),
                arguments.getBoolean("keep"),
                arguments.getBoolean("delay"));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("bench")
                .build()
                .description("Measures entry host processes under open-loop load; see docs/bench.md.");
        parser.addArgument("--scenario").required(true).help("scenario name");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("random seed of arrivals and faults");
        parser.addArgument("--seconds")
                .type(Double.class)
                .help("measurement time in seconds; default depends on the scenario");
        parser.addArgument("--warmup")
                .type(Double.class)
                .help("warm-up time under load before the measurement, in seconds");
        parser.addArgument("--shape").choices("kilima", "daugava").setDefault("kilima");
        parser.addArgument("--policy").choices("adaptive", "baseline").setDefault("adaptive");
        parser.addArgument("--scale")
                .type(Double.class)
                .setDefault(0.333)
                .help("number of hosts and servers as a fraction of the site");
        parser.addArgument("--repeat").type(Integer.class).setDefault(1).help("number of runs, with consecutive seeds");
        parser.addArgument("--keep")
                .action(Arguments.storeTrue())
                .help("keep settings, output and ledger of the processes");
        parser.addArgument("--delay")
                .action(Arguments.storeTrue())
                .help("simulate the network delay of the site between zones and to clients");
        parser.addArgument("--json").help("write the result as JSON to this file");
        parser.addArgument("--plot").help("write a PNG plot of the response ratio by percentile to this file");
        return parser;
    }
}
