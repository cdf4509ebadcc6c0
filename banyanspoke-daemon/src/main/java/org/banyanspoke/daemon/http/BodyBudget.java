package org.banyanspoke.daemon.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/**
 * Limits the bytes of request bodies that this process holds at once, from the start of reading until the response is
 * written and the job has ended. Thread safe.
 *
 * <p>A caller may hold as much as is free, so one caller gets at most half and n callers at most n / (n + 1): a flood of large
 * bodies leaves room for the work of others.
 */
public final class BodyBudget {
    /** Most jobs end within this time. */
    private static final long RETRY_MILLIS = 1_000;

    private final long maxBytes;
    private final Map<String, Long> heldByCaller = new HashMap<>();
    private long heldBytes;
    private long refusals;

    /**
     * @param maxBytes bytes held at once by all callers
     */
    public BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes that are held. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns how many bodies were refused. */
    public synchronized long refusals() {
        return refusals;
    }

    /** Returns the share of one request, which holds nothing yet. */
    Share open(String caller) {
        return new Share(caller);
    }

    private synchronized void take(String caller, long bytes) throws RefusedException {
        long ownBytes = heldByCaller.getOrDefault(caller, 0L) + bytes;
        if (ownBytes > maxBytes - heldBytes) {
            refusals++;
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "this host has no room for the body: " + heldBytes + " of " + maxBytes + " bytes are taken",
                    RETRY_MILLIS);
        }
        heldByCaller.put(caller, ownBytes);
        heldBytes += bytes;
    }

    private synchronized void giveBack(String caller, long bytes) {
        heldByCaller.computeIfPresent(caller, (name, held) -> held == bytes ? null : Long.valueOf(held - bytes));
        heldBytes -= bytes;
    }

    /** The bytes of one request. They are given back when every holder has released them. */
    final class Share {
        private final String caller;
        private long bytes;
        private int holders = 1;

        private Share(String caller) {
            this.caller = caller;
        }

        /**
         * Takes more bytes.
         *
         * @throws RefusedException with {@link ErrorKind#OVERLOADED} if there is no room
         */
        synchronized void grow(long moreBytes) throws RefusedException {
            take(caller, moreBytes);
            bytes += moreBytes;
        }

        /** Adds a holder. Returns its release, of which only the first call counts. */
        synchronized Runnable retain() {
            holders++;
            AtomicBoolean released = new AtomicBoolean();
            return () -> {
                if (released.compareAndSet(false, true)) {
                    release();
                }
            };
        }

        /** Releases the bytes for the holder that opened the share. Called once. */
        synchronized void release() {
            holders--;
            if (holders == 0) {
                giveBack(caller, bytes);
                bytes = 0;
            }
        }
    }
}
