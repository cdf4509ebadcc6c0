package org.banyanspoke.daemon.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/** Logs structured events. Each event is written as one JSON line. */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Returns the event log of a class. */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /** Creates an event, which is logged by {@link Event#write}. */
    public Event event(Logger.Level level, String message) {
        return new Event(logger, level, message);
    }

    /** Builder of a log event. Not thread safe. */
    public static final class Event {
        private final Logger logger;
        private final Logger.Level level;
        private final String message;
        private final Map<String, String> fields = new LinkedHashMap<>();
        private Throwable cause;

        private Event(Logger logger, Logger.Level level, String message) {
            this.logger = logger;
            this.level = level;
            this.message = message;
        }

        /** Adds a field unless the value is null. */
        public Event with(String field, Object value) {
            if (value != null) {
                fields.put(field, value.toString());
            }
            return this;
        }

        /** Sets the exception whose stack trace is logged. */
        public Event cause(Throwable e) {
            cause = e;
            return this;
        }

        /** Logs the event if its level is enabled. */
        public void write() {
            if (!logger.isEnabled(level)) {
                return;
            }
            fields.forEach(MDC::put);
            try {
                logger.log(level, message, cause);
            } finally {
                fields.keySet().forEach(MDC::remove);
            }
        }
    }
}
