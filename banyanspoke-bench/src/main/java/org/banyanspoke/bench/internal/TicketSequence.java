package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends change tickets at equal distances during a measured time. */
final class TicketSequence implements AutoCloseable {
    /** Number of the first ticket that this class sends. */
    static final int FIRST_NUMBER = 2;

    private static final int TICKETS = 4;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Cluster cluster;
    private final CapacitySetup setup;
    private final AtomicInteger accepted = new AtomicInteger(FIRST_NUMBER - 1);

    TicketSequence(Cluster cluster, CapacitySetup setup, double seconds) {
        this.cluster = cluster;
        this.setup = setup;
        long gapMillis = Math.round(seconds * 1_000 / (TICKETS + 2));
        for (int i = 0; i < TICKETS; i++) {
            int number = FIRST_NUMBER + i;
            var unused = timer.schedule(() -> send(number), gapMillis * (i + 1), TimeUnit.MILLISECONDS);
        }
    }

    private void send(int number) {
        try {
            cluster.send(setup.change(number));
            accepted.set(number);
        } catch (IOException e) {
            System.err.println("ticket " + number + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of the last accepted ticket. */
    int lastNumber() {
        return accepted.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
