package org.banyanspoke.daemon.logging;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.settings.Settings;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up JBoss LogManager. */
public final class Logging {
    /** Lines that may wait for a slow reader of the output. */
    private static final int QUEUED_LINES = 2_000;
    /** A reader of the output that does not read holds up the end of the process no longer. */
    private static final long CLOSE_MILLIS = 300;

    private static volatile Thread writer = new Thread("no-log-writer");

    private Logging() {}

    /** Selects the log manager. Must run before any class of the process asks for a logger. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    }

    /** Sends all log lines at or above the level of the settings to standard error as JSON. */
    public static void configure(Settings settings) {
        configure(
                console(settings.host().id(), settings.host().zone(), ConsoleHandler.Target.SYSTEM_ERR),
                level(settings));
    }

    /** Sends all log lines from INFO to standard output as JSON. Lines are left out rather than waited for. */
    public static void configure(HostId host, ZoneId zone) {
        AsyncHandler handler = new AsyncHandler(QUEUED_LINES, Logging::newWriter);
        handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        // The writer still needs the console when the handler has been closed.
        handler.setCloseChildren(false);
        handler.addHandler(console(host, zone, ConsoleHandler.Target.SYSTEM_OUT));
        configure(handler, Level.INFO);
    }

    private static Thread newWriter(Runnable task) {
        writer = new Thread(task, "log-writer");
        writer.setDaemon(true);
        return writer;
    }

    /** Writes the lines that wait and takes no more. Needed before the process ends, or its last lines are lost. */
    public static void close() {
        for (java.util.logging.Handler each :
                LogContext.getLogContext().getLogger("").getHandlers()) {
            each.close();
        }
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ConsoleHandler console(HostId host, ZoneId zone, ConsoleHandler.Target target) {
        Map<String, String> hostFields = Map.of("host", host.value(), "zone", zone.value());
        ConsoleHandler handler = new ConsoleHandler(target, new JsonLineFormatter(hostFields));
        handler.setLevel(Level.ALL);
        return handler;
    }

    private static void configure(java.util.logging.Handler handler, java.util.logging.Level level) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (java.util.logging.Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.addHandler(handler);
        root.setLevel(level);
    }

    private static java.util.logging.Level level(Settings settings) {
        return switch (settings.logLevel()) {
            case FATAL -> Level.FATAL;
            case ERROR -> Level.ERROR;
            case WARN -> Level.WARN;
            case INFO -> Level.INFO;
            case DEBUG -> Level.DEBUG;
            case TRACE -> Level.TRACE;
        };
    }
}
