package org.banyanspoke.host;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.logging.Logging;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.PlatformSettings;
import sun.misc.Signal;

/** Starts an entry host on the platform. */
public final class Main {
    static final int EXIT_FAILED = 1;
    static final int EXIT_SETTINGS = 2;

    private Main() {}

    /** Runs until SIGTERM. Exits with 2 if the settings are not valid and 1 if an address cannot be bound. */
    public static void main(String[] args) throws InterruptedException {
        Logging.selectManager();
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
        HostProcess process = new HostProcess(settings, watch);
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
    }
}
