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
    static final int EXIT_START_FAILED = 1;
    static final int EXIT_SETTINGS_INVALID = 2;
    private static final int DEFAULT_METRICS_PORT = 9_464;

    private Main() {}

    /** Runs until SIGTERM. Exits with status 2 if the settings are invalid and 1 if an address cannot be bound. */
    public static void main(String[] args) throws InterruptedException {
        preloadProcessInfo();
        Logging.selectManager();
        int metricsPort = metricsPort(args);
        SettingsWatch watch;
        try {
            watch = new SettingsWatch(PlatformSettings.file(System.getenv()), PlatformSettings::parse);
        } catch (PlatformException e) {
            System.err.println(e.getMessage());
            Runtime.getRuntime().halt(EXIT_SETTINGS_INVALID);
            return;
        }
        PlatformSettings settings = watch.current();
        Logging.configure(settings.host(), settings.zone());
        HostProcess process = new HostProcess(settings, watch, metricsPort);
        // Without a handler, SIGHUP terminates the process.
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        try {
            process.start();
        } catch (IOException e) {
            System.err.println(e.getMessage());
            Runtime.getRuntime().halt(EXIT_START_FAILED);
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> awaitStop(process, settings.terminationGraceMillis()), "stop"));
    }

    /**
     * Makes the runtime read the process id and start time from {@code /proc} while no other thread makes system calls.
     * Netty and the logger need them later, while an event loop runs; there the process can die with SIGILL if a
     * preloaded library patches system calls that are in progress.
     */
    private static void preloadProcessInfo() {
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
