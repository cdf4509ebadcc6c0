package org.banyanspoke.host.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;

/** Waits for what processes do in their own time. */
public final class Eventually {
    private static final long STEP_MILLIS = 20;

    /** A condition that is looked at again and again. */
    @FunctionalInterface
    public interface Condition {
        /** Returns whether it holds now. */
        boolean holds() throws InterruptedException;
    }

    private Eventually() {}

    /** Waits until something that was begun in this process has ended well. */
    public static void done(Future<?> future) throws Exception {
        future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /**
     * Waits until a condition holds; fails if it does not in time.
     *
     * @param what shown in the failure
     */
    public static void within(long millis, Condition condition, String what) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            assertThat(System.nanoTime()).as("%s within %d ms", what, millis).isLessThan(endNanos);
            Thread.sleep(STEP_MILLIS);
        }
    }

    /**
     * Waits until a condition has held for a time without a break; fails if it has not in time.
     *
     * @param heldMillis how long it has to hold
     * @param what shown in the failure
     */
    public static void steadyWithin(long millis, long heldMillis, Condition condition, String what)
            throws InterruptedException {
        long[] sinceNanos = {System.nanoTime()};
        within(
                millis,
                () -> {
                    if (!condition.holds()) {
                        sinceNanos[0] = System.nanoTime();
                    }
                    return System.nanoTime() - sinceNanos[0] >= TimeUnit.MILLISECONDS.toNanos(heldMillis);
                },
                what);
    }
}
