package org.banyanspoke.daemon.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/**
 * Limits the total size of the request bodies that this process holds in memory, from the start of reading until the
 * response is written and the job has ended. Thread-safe.
 *
 * <p>The bytes of one caller, including new ones, may not exceed the bytes that were free before. With bodies that are
 * small compared to the budget, one caller thus gets at most half of it and n callers at most n / (n + 1), so that a
 * caller that sends many large bodies leaves memory for the others.
 */
public final class BodyBudget {
    /** Most jobs end within this time. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final long maxBytes;
    private final Map<String, Long> heldByCaller = new HashMap<>();
    private long heldBytes;
    private long refusals;

    /**
     * @param maxBytes budget for the bodies of all callers, in bytes
     */
    public BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the held bytes and the number of refused bodies, by metric name. */
    public synchronized Map<String, Long> counters() {
        return Map.of("http.heldBodyBytes", heldBytes, "http.refusedBodies", refusals);
    }

    /** Opens an empty reservation for one request. */
    Reservation open(String caller) {
        return new Reservation(caller);
    }

    private synchronized void reserve(String caller, long bytes) throws RefusedException {
        long callerBytes = heldByCaller.getOrDefault(caller, 0L) + bytes;
        if (callerBytes > maxBytes - heldBytes) {
            refusals++;
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "no memory left for the request body: " + heldBytes + " of " + maxBytes + " bytes are in use",
                    RETRY_AFTER_MILLIS);
        }
        heldByCaller.put(caller, callerBytes);
        heldBytes += bytes;
    }

    private synchronized void free(String caller, long bytes) {
        heldByCaller.computeIfPresent(caller, (name, held) -> held == bytes ? null : Long.valueOf(held - bytes));
        heldBytes -= bytes;
    }

    /** Bytes reserved for one request; reference-counted and freed when every holder has released them. */
    final class Reservation {
        private final String caller;
        private long bytes;
        private int holders = 1;

        private Reservation(String caller) {
            this.caller = caller;
        }

        /**
         * Reserves more bytes.
         *
         * @throws RefusedException with {@link ErrorKind#OVERLOADED} if the budget is exhausted
         */
        synchronized void grow(long moreBytes) throws RefusedException {
            reserve(caller, moreBytes);
            bytes += moreBytes;
        }

        /** Adds a holder and returns the action that releases it; only its first run has an effect. */
        synchronized Runnable retain() {
            holders++;
            AtomicBoolean released = new AtomicBoolean();
            return () -> {
                if (released.compareAndSet(false, true)) {
                    release();
                }
            };
        }

        /** Releases the holder that opened the reservation. Must be called exactly once for it. */
        synchronized void release() {
            holders--;
            if (holders == 0) {
                free(caller, bytes);
                bytes = 0;
            }
        }
    }
}
