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

/** Configures JBoss LogManager. */
public final class Logging {
    /** Capacity of the queue for lines that standard output does not accept yet; further lines are discarded. */
    private static final int QUEUE_CAPACITY_LINES = 2_000;
    /** Longest time that {@link #close} waits if the reader of standard output is blocked. */
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private static volatile Thread writer = new Thread("no-log-writer");

    private Logging() {}

    /** Selects the log manager. Must be called before the first logger is created. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    }

    /** Writes log records at or above the configured level to standard error as JSON lines. */
    public static void configure(Settings settings) {
        configure(
                console(settings.host().id(), settings.host().zone(), ConsoleHandler.Target.SYSTEM_ERR),
                level(settings));
    }

    /** Writes log records at INFO and above to standard output as JSON lines. Discards records if the queue is full. */
    public static void configure(HostId host, ZoneId zone) {
        AsyncHandler handler = new AsyncHandler(QUEUE_CAPACITY_LINES, Logging::newWriter);
        handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        // The writer thread still drains its queue to the console handler after the asynchronous handler is closed.
        handler.setCloseChildren(false);
        handler.addHandler(console(host, zone, ConsoleHandler.Target.SYSTEM_OUT));
        configure(handler, Level.INFO);
    }

    private static Thread newWriter(Runnable task) {
        writer = new Thread(task, "log-writer");
        writer.setDaemon(true);
        return writer;
    }

    /** Closes the handlers and flushes queued lines. Must be called before exit, or the last lines are lost. */
    public static void close() {
        for (java.util.logging.Handler existing :
                LogContext.getLogContext().getLogger("").getHandlers()) {
            existing.close();
        }
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ConsoleHandler console(HostId host, ZoneId zone, ConsoleHandler.Target target) {
        Map<String, String> commonFields = Map.of("host", host.value(), "zone", zone.value());
        ConsoleHandler handler = new ConsoleHandler(target, new JsonLineFormatter(commonFields));
        handler.setLevel(Level.ALL);
        return handler;
    }

    private static void configure(java.util.logging.Handler handler, java.util.logging.Level level) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (java.util.logging.Handler existing : root.getHandlers()) {
            root.removeHandler(existing);
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
