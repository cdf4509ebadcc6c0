package org.banyanspoke.host;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.ForwardingIoHandler;
import org.jboss.logging.Logger;

/**
 * Tells up to which time the event loop has read what has arrived at its sockets. After the process was suspended,
 * timers may fire before the sockets are read, and a closed connection is detected one pass after the data that arrived
 * before it. Observes one event loop with one thread, and is used on that thread only.
 */
final class InputProgress {
    /** The event loop waits at most 60 ms for input; a slow host takes somewhat longer for a pass. */
    private static final long BEHIND_MILLIS = 250;
    /** Time for accepting the connections that arrived while the process was suspended, a few at a time. */
    private static final long CATCH_UP_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(InputProgress.class);

    private final MonotonicClock monotonicClock;
    private final MonotonicClock elapsedClock;
    private final Queue<PendingAction> actions = new ArrayDeque<>();
    private Executor executor = Runnable::run;
    /** Start of the last completed pass over the sockets. */
    private Moment lastPass;
    /** Start of the pass before. */
    private Moment readUntil;

    private long catchUpEndMillis;

    /** A moment on both clocks. */
    record Moment(long monotonicNanos, long elapsedMillis) {}

    /** An action that waits until the input is read that had arrived at a time of the elapsed clock. */
    private record PendingAction(long arrivedMillis, Runnable action) {}

    /**
     * @param monotonicClock clock of the timers of this process
     * @param elapsedClock clock that also counts the time for which the machine was suspended
     */
    InputProgress(MonotonicClock monotonicClock, MonotonicClock elapsedClock) {
        this.monotonicClock = monotonicClock;
        this.elapsedClock = elapsedClock;
        lastPass = now();
        readUntil = lastPass;
        catchUpEndMillis = lastPass.elapsedMillis();
    }

    private Moment now() {
        return new Moment(monotonicClock.nanos(), elapsedClock.millis());
    }

    /** Returns the time up to which input has been read, on the clock of the timers, in nanoseconds. */
    long readUntilNanos() {
        return readUntil.monotonicNanos();
    }

    /**
     * Returns the time since the moment up to which all input has been read, in milliseconds. Suspensions of the process
     * and of the machine count.
     */
    long behindMillis() {
        return elapsedClock.millis() - readUntil.elapsedMillis();
    }

    /** Returns whether input that arrived some time ago may be unread, because the process was suspended. */
    boolean isBehind() {
        return behindMillis() >= BEHIND_MILLIS;
    }

    /** Returns whether input that is read now may have arrived while the process was suspended. */
    boolean isCatchingUp() {
        return isBehind() || elapsedClock.millis() < catchUpEndMillis;
    }

    /** Returns whether all input has been read that had arrived at a time of the elapsed clock. */
    boolean hasReadUntil(long elapsedMillis) {
        return readUntil.elapsedMillis() >= elapsedMillis;
    }

    /** Returns the current time of the elapsed clock. */
    long nowMillis() {
        return elapsedClock.millis();
    }

    /** Runs an action on the event loop once all input has been read that has arrived by now. */
    void afterReading(Runnable action) {
        actions.add(new PendingAction(elapsedClock.millis(), action));
        requestPass();
    }

    /** An event loop with a task does not wait for input in its next pass. */
    private void requestPass() {
        executor.execute(() -> {});
    }

    /** Records a completed pass over the sockets, which read at least what had arrived when it started. */
    void recordPass(Moment start) {
        long nowMillis = elapsedClock.millis();
        long unreadMillis = nowMillis - lastPass.elapsedMillis();
        if (unreadMillis >= BEHIND_MILLIS) {
            logStandstill(unreadMillis, nowMillis);
            catchUpEndMillis = nowMillis + CATCH_UP_MILLIS;
        }
        readUntil = lastPass;
        lastPass = start;
        if (!actions.isEmpty()) {
            runDueActions();
        }
    }

    private void logStandstill(long unreadMillis, long nowMillis) {
        if (nowMillis >= catchUpEndMillis) {
            LOG.event(Logger.Level.WARN, "no input was read for some time")
                    .with("unreadMillis", unreadMillis)
                    .write();
        }
    }

    private void runDueActions() {
        while (!actions.isEmpty() && hasReadUntil(actions.peek().arrivedMillis())) {
            executor.execute(actions.remove().action());
        }
        if (!actions.isEmpty()) {
            requestPass();
        }
    }

    /** Returns a factory for the event loop whose passes are recorded here. */
    IoHandlerFactory observe(IoHandlerFactory factory) {
        return eventLoop -> {
            executor = eventLoop;
            return new ObservedHandler(factory.newHandler(eventLoop));
        };
    }

    /** Records the passes of a handler. An exception here would end the event loop, so none leaves it. */
    private final class ObservedHandler extends ForwardingIoHandler {
        private ObservedHandler(IoHandler handler) {
            super(handler);
        }

        @Override
        public int run(IoHandlerContext context) {
            Moment start = now();
            int handled = super.run(context);
            try {
                recordPass(start);
            } catch (RuntimeException e) {
                LOG.event(Logger.Level.ERROR, "unexpected error after a pass over the sockets")
                        .cause(e)
                        .write();
            }
            return handled;
        }
    }
}
