package org.banyanspoke.host.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;

/** Waits for asynchronous conditions, with a time limit. */
public final class Eventually {
    private static final long POLL_MILLIS = 20;

    /** A condition that is polled. */
    @FunctionalInterface
    public interface Condition {
        /** Returns whether the condition holds now. */
        boolean holds() throws InterruptedException;
    }

    private Eventually() {}

    /** Waits up to 10 s for a future to succeed; throws if it fails. */
    public static void await(Future<?> future) throws Exception {
        future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /**
     * Waits until a condition holds; fails after the time limit.
     *
     * @param description shown in the failure message
     */
    public static void within(long millis, Condition condition, String description) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            assertThat(System.nanoTime())
                    .as("%s within %d ms", description, millis)
                    .isLessThan(endNanos);
            Thread.sleep(POLL_MILLIS);
        }
    }

    /**
     * Waits until a condition has held continuously for some time; fails after the time limit.
     *
     * @param stableMillis how long the condition has to hold
     * @param description shown in the failure message
     */
    public static void stableWithin(long millis, long stableMillis, Condition condition, String description)
            throws InterruptedException {
        long[] sinceNanos = {System.nanoTime()};
        within(
                millis,
                () -> {
                    if (!condition.holds()) {
                        sinceNanos[0] = System.nanoTime();
                    }
                    return System.nanoTime() - sinceNanos[0] >= TimeUnit.MILLISECONDS.toNanos(stableMillis);
                },
                description);
    }
}
