package org.banyanspoke.host;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import org.banyanspoke.daemon.logging.Logging;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.PlatformSettings;
import sun.misc.Signal;

/** Starts an entry host on the platform. */
public final class Main {
    static final int EXIT_FAILED = 1;
    static final int EXIT_SETTINGS = 2;
    private static final int DEFAULT_METRICS_PORT = 9_464;

    private Main() {}

    /** Runs until SIGTERM. Exits with 2 if the settings are not valid and 1 if an address cannot be bound. */
    public static void main(String[] args) throws InterruptedException {
        readProcessId();
        Logging.selectManager();
        int metricsPort = metricsPort(args);
        SettingsWatch watch;
        try {
            watch = new SettingsWatch(PlatformSettings.file(System.getenv()));
        } catch (PlatformException e) {
            System.err.println(e.getMessage());
            Runtime.getRuntime().halt(EXIT_SETTINGS);
            return;
        }
        PlatformSettings settings = watch.current();
        Logging.configure(settings.host(), settings.zone());
        HostProcess process = new HostProcess(settings, watch, metricsPort);
        // The default action of the Java runtime is to end the process.
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        try {
            process.start();
        } catch (IOException e) {
            System.err.println(e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitStop(process, settings.stopMillis()), "stop"));
    }

    /**
     * Lets the runtime read the process's id and start time from {@code /proc} while this is the only thread that makes system
     * calls. Netty and the log ask for them later, when an event loop runs, and the process could end there with SIGILL where a
     * preloaded library replaces system calls while they are made.
     */
    private static void readProcessId() {
        ProcessHandle.current();
    }

    private static int metricsPort(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("banyanspoke-host").build();
        parser.description("Runs an entry host on the platform. The settings file is named by the environment.");
        parser.addArgument("--metrics-port")
                .type(Integer.class)
                .choices(Arguments.range(1, 65_535))
                .setDefault(DEFAULT_METRICS_PORT)
                .help("port of GET /metrics on this host's address (default %(default)s)");
        return parser.parseArgsOrFail(args).getInt("metrics_port");
    }

    private static void awaitStop(HostProcess process, long limitMillis) {
        CountDownLatch stopped = new CountDownLatch(1);
        process.stop(stopped::countDown);
        try {
            if (!stopped.await(limitMillis, TimeUnit.MILLISECONDS)) {
                System.err.println("not stopped in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Logging.close();
    }
}
