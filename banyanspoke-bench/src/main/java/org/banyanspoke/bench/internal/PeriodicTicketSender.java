package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Submits configuration tickets at regular intervals during a measurement. */
final class PeriodicTicketSender implements AutoCloseable {
    /** Number of the first submitted ticket. */
    static final int FIRST_NUMBER = 2;

    private static final int TICKET_COUNT = 4;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Cluster cluster;
    private final CapacityConfiguration configuration;
    private final AtomicInteger lastAccepted = new AtomicInteger(FIRST_NUMBER - 1);

    PeriodicTicketSender(Cluster cluster, CapacityConfiguration configuration, double seconds) {
        this.cluster = cluster;
        this.configuration = configuration;
        long intervalMillis = Math.round(seconds * 1_000 / (TICKET_COUNT + 2));
        for (int i = 0; i < TICKET_COUNT; i++) {
            int number = FIRST_NUMBER + i;
            var unused = timer.schedule(() -> send(number), intervalMillis * (i + 1), TimeUnit.MILLISECONDS);
        }
    }

    private void send(int number) {
        try {
            cluster.submit(configuration.teamChangeTicket(number));
            lastAccepted.set(number);
        } catch (IOException e) {
            System.err.println("ticket " + number + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of the last accepted ticket. */
    int lastNumber() {
        return lastAccepted.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
