package org.banyanspoke.host;

import java.util.EnumMap;
import java.util.Map;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * Log lines about single requests, with a limit on each kind. What is above the limit is counted, and the count is written
 * with the next second. Lines of requests that went wrong have a limit of their own, so that calm ones cannot displace them.
 */
final class RequestLog {
    /** The events that are logged about requests. */
    enum Kind {
        /** A caller got its answer in time. */
        ANSWERED(20),
        /** A caller got its answer late. */
        ANSWERED_LATE(40),
        /** A caller was told that its job has not run. */
        REFUSED(40),
        /** A caller was told that its job has failed, or that its end is not known. */
        NOT_DONE(40),
        /** A run has ended other than well. */
        RUN_LOST(40),
        /** What is believed of a server has changed. */
        SERVER(60);

        private final int linesPerSecond;

        Kind(int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    private static final long PERIOD_MILLIS = 1_000;
    private static final EventLog LOG = EventLog.of(RequestLog.class);

    private final MonotonicClock clock;
    private final Map<Kind, Window> windows = new EnumMap<>(Kind.class);

    private static final class Window {
        private long sinceMillis;
        private int lines;
        private int leftOut;
    }

    RequestLog(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether a line of a kind may be written now. */
    boolean admits(Kind kind) {
        Window window = windows.computeIfAbsent(kind, key -> new Window());
        long nowMillis = clock.millis();
        if (nowMillis - window.sinceMillis >= PERIOD_MILLIS) {
            writeLeftOut(kind, window);
            window.sinceMillis = nowMillis;
            window.lines = 0;
            window.leftOut = 0;
        }
        if (window.lines >= kind.linesPerSecond) {
            window.leftOut++;
            return false;
        }
        window.lines++;
        return true;
    }

    private static void writeLeftOut(Kind kind, Window window) {
        if (window.leftOut > 0) {
            LOG.event(Logger.Level.INFO, "lines left out")
                    .with("kind", kind)
                    .with("lines", window.leftOut)
                    .write();
        }
    }

    /** Starts a line. Ask {@link #admits} first. */
    EventLog.Event line(Kind kind, String message) {
        return LOG.event(Logger.Level.INFO, message).with("kind", kind);
    }
}
