package org.banyanspoke.standins;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.banyanspoke.standins.backend.BackendFleet;
import org.banyanspoke.standins.backend.Ledger;
import org.banyanspoke.standins.backend.ServerOptions;
import org.banyanspoke.standins.hostlist.HostListOptions;
import org.banyanspoke.standins.hostlist.HostListSimulator;
import org.banyanspoke.standins.log.LogOptions;
import org.banyanspoke.standins.log.LogSimulator;
import org.banyanspoke.standins.relay.TcpRelay;

/** Runs one simulator until the process is terminated. Prints {@code ready} once its ports are open. */
public final class Main {
    private Main() {}

    /** Starts the simulator selected by the subcommand; see {@code --help}. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ArgumentParser parser = createParser();
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(arguments.getInt("threads")));
        try {
            start(vertx, arguments);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(vertx), "close"));
        System.out.println("ready");
    }

    /** Undeploys the simulator, which flushes the ledger to its file. */
    private static void close(Vertx vertx) {
        try {
            Deployments.await(vertx.close());
        } catch (IOException | InterruptedException e) {
            System.err.println("shutdown failed: " + e.getMessage());
        }
    }

    private static void start(Vertx vertx, Namespace arguments) throws IOException, InterruptedException {
        int port = arguments.getInt("port");
        int controlPort = arguments.getInt("control_port");
        switch (arguments.getString("standin")) {
            case "log" -> Deployments.start(vertx, new LogSimulator(LogOptions.DEFAULT, port, controlPort));
            case "host-list" ->
                Deployments.start(vertx, new HostListSimulator(HostListOptions.DEFAULT, port, controlPort));
            case "backend" -> Deployments.start(vertx, createFleet(arguments, port, controlPort));
            default -> Deployments.start(vertx, createRelay(arguments, controlPort));
        }
    }

    private static BackendFleet createFleet(Namespace arguments, int port, int controlPort) throws IOException {
        String ledgerFile = arguments.getString("ledger");
        Ledger ledger = new Ledger(ledgerFile == null ? null : Path.of(ledgerFile));
        ServerOptions base = ServerOptions.DEFAULT;
        List<ServerOptions> options = new ArrayList<>();
        for (double speed : parseSpeeds(arguments)) {
            options.add(new ServerOptions(
                    arguments.getInt("slots"),
                    arguments.getInt("connections"),
                    speed,
                    arguments.getBoolean("instant"),
                    base.reportsLoad(),
                    base.errorFraction(),
                    base.failEverything(),
                    base.failMillis(),
                    base.stragglerFraction(),
                    base.stragglerFactor(),
                    false,
                    false,
                    false));
        }
        return new BackendFleet(options, port, controlPort, ledger, arguments.getLong("seed"));
    }

    private static List<Double> parseSpeeds(Namespace arguments) {
        int count = arguments.getInt("count");
        String text = arguments.getString("speeds");
        if (text == null) {
            return Collections.nCopies(count, 1.0);
        }
        List<Double> speeds =
                Arrays.stream(text.split(",", -1)).map(Double::valueOf).toList();
        if (speeds.size() != count) {
            throw new IllegalArgumentException(
                    "--speeds has " + speeds.size() + " values for --count " + count + " servers");
        }
        return speeds;
    }

    private static TcpRelay createRelay(Namespace arguments, int controlPort) {
        List<TcpRelay.Route> routes = arguments.<String>getList("route").stream()
                .map(TcpRelay.Route::parse)
                .toList();
        return new TcpRelay(routes, controlPort);
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser = ArgumentParsers.newFor("banyanspoke-standin")
                .build()
                .description("Simulators of the platform services and backend servers, listening on loopback.");
        Subparsers standins = parser.addSubparsers().dest("standin");
        addPortArguments(standins.addParser("log").help("append-only log"));
        addPortArguments(standins.addParser("host-list").help("eventually consistent host list"));
        addBackendArguments(standins.addParser("backend").help("backend servers"));
        Subparser relay = standins.addParser("relay").help("TCP relay that simulates network partitions");
        addPortArguments(relay);
        relay.addArgument("--route").nargs("+").required(true).metavar("PORT=IP:PORT");
        return parser;
    }

    private static void addPortArguments(Subparser parser) {
        parser.addArgument("--port")
                .type(Integer.class)
                .setDefault(0)
                .help("listening port, or the first of several; 0 selects a free port");
        parser.addArgument("--control-port").type(Integer.class).required(true).help("port of the control API");
        parser.addArgument("--threads").type(Integer.class).setDefault(2).help("event loop threads");
    }

    private static void addBackendArguments(Subparser parser) {
        addPortArguments(parser);
        parser.addArgument("--count").type(Integer.class).setDefault(1).help("number of servers");
        parser.addArgument("--slots").type(Integer.class).setDefault(8);
        parser.addArgument("--connections").type(Integer.class).setDefault(64);
        parser.addArgument("--speeds").help("comma-separated relative speeds, one for each server");
        parser.addArgument("--instant").action(Arguments.storeTrue());
        parser.addArgument("--ledger").help("file to which task starts and finishes are written as JSON lines");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
    }
}
