package org.banyanspoke.daemon.logging;

import java.util.Map;
import org.banyanspoke.settings.Settings;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up JBoss LogManager. */
public final class Logging {
    private Logging() {}

    /** Selects the log manager. Must run before any class of the process asks for a logger. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    }

    /** Sends all log lines at or above the level of the settings to standard error as JSON. */
    public static void configure(Settings settings) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (java.util.logging.Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Map<String, String> hostFields = Map.of(
                "host", settings.host().id().value(),
                "zone", settings.host().zone().value());
        ConsoleHandler handler =
                new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, new JsonLineFormatter(hostFields));
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(level(settings));
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
