package org.banyanspoke.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.bench.internal.CapacityRun;
import org.banyanspoke.bench.internal.CommandLine;
import org.banyanspoke.bench.internal.RecoveryRun;

/** Command-line entry point of capacity measurements; docs/bench.md describes the options. */
public final class CapacityMain {
    private static final int MIN_POINTS = 3;
    /** With 3 simulators per point, 4 parallel points stay well below 200 processes. */
    private static final int MAX_HOSTS = 32;

    private CapacityMain() {}

    /** Measures the points and prints the table. Exits with 1 if a point fails, 2 if parsing the arguments fails. */
    public static void main(String[] args) throws InterruptedException {
        CommandLine.execute(parser(), args, CapacityMain::run);
    }

    private static boolean run(Namespace arguments) throws IOException, InterruptedException {
        Dimension dimension = Dimension.valueOf(arguments.getString("over").toUpperCase(Locale.ROOT));
        List<Integer> values = arguments.getList("points");
        CapacityOptions options = new CapacityOptions(
                Path.of(System.getProperty("banyanspoke.home", ".")),
                arguments.getLong("seed"),
                arguments.getDouble("seconds"),
                arguments.getDouble("warmup"),
                arguments.getInt("heap"));
        List<Integer> sizes = values == null ? dimension.defaultPoints() : values;
        List<CapacityPoint> points = measure(dimension, sizes, options, arguments.getInt("parallel"));
        if (!points.isEmpty()) {
            System.out.print(new CapacityTable(points).toMarkdown());
        }
        if (arguments.getString("json") != null) {
            StringBuilder lines = new StringBuilder();
            for (CapacityPoint point : points) {
                lines.append(Json.mapper().writeValueAsString(point)).append('\n');
            }
            Files.writeString(Path.of(arguments.getString("json")), lines);
        }
        return points.size() == sizes.size();
    }

    /** Returns the points that were measured successfully. */
    private static List<CapacityPoint> measure(
            Dimension dimension, List<Integer> values, CapacityOptions options, int parallel)
            throws InterruptedException {
        if (values.size() < MIN_POINTS) {
            throw new IllegalArgumentException("a linear fit requires at least " + MIN_POINTS + " points");
        }
        ExecutorService pool = Executors.newFixedThreadPool(parallel);
        try {
            List<Callable<CapacityPoint>> runs = new ArrayList<>();
            values.forEach(value -> runs.add(run(dimension, value, options)));
            List<CapacityPoint> points = new ArrayList<>();
            for (Future<CapacityPoint> point : pool.invokeAll(runs)) {
                try {
                    points.add(point.get());
                } catch (ExecutionException e) {
                    System.err.println("measurement of a point failed: " + e.getCause());
                }
            }
            return points;
        } finally {
            pool.shutdownNow();
        }
    }

    private static Callable<CapacityPoint> run(Dimension dimension, int value, CapacityOptions options) {
        CapacitySize size = dimension.at(value);
        if (size.hosts() > MAX_HOSTS) {
            throw new IllegalArgumentException("at most " + MAX_HOSTS + " hosts are supported on one machine");
        }
        return dimension == Dimension.RECOVERY
                ? new RecoveryRun(value, size, options)
                : new CapacityRun(dimension, value, size, options);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("capacity")
                .build()
                .description(
                        "Measures the resource usage of an entry host at several sizes and fits a line; see docs/bench.md.");
        parser.addArgument("--over").required(true).choices("servers", "teams", "batches", "rate", "hosts", "recovery");
        parser.addArgument("--points")
                .nargs("+")
                .type(Integer.class)
                .help("values of the dimension; default depends on --over");
        parser.addArgument("--seconds")
                .type(Double.class)
                .setDefault(10.0)
                .help("measurement time of each point, in seconds");
        parser.addArgument("--warmup")
                .type(Double.class)
                .setDefault(10.0)
                .help("warm-up time under load before the measurement, in seconds");
        parser.addArgument("--heap")
                .type(Integer.class)
                .setDefault(128)
                .help("maximum heap size of an entry host in MB");
        parser.addArgument("--parallel")
                .type(Integer.class)
                .setDefault(1)
                .help("number of points measured in parallel");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--json").help("write one JSON line per point to this file");
        return parser;
    }
}
