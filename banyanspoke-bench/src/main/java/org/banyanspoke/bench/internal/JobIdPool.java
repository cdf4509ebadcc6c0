package org.banyanspoke.bench.internal;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Pool of reserved job ids by client account. Thread-safe. */
final class JobIdPool {
    private static final int BLOCK_SIZE = 100;
    private static final int REFILL_THRESHOLD = 50;

    /** Reserves job ids on an entry host. */
    @FunctionalInterface
    interface IdReserver {
        Future<List<String>> reserve(String team, int count);
    }

    private final IdReserver reserver;
    private final Map<String, Deque<String>> availableIds = new HashMap<>();
    private final Map<String, Deque<Promise<String>>> waitingJobs = new HashMap<>();
    private final Map<String, Boolean> pendingReservations = new HashMap<>();

    JobIdPool(IdReserver reserver) {
        this.reserver = reserver;
    }

    /** Returns a future for the next available id. */
    synchronized Future<String> take(String team) {
        Deque<String> ids = availableIds.computeIfAbsent(team, key -> new ArrayDeque<>());
        Promise<String> promise = Promise.promise();
        if (ids.isEmpty()) {
            waitingJobs.computeIfAbsent(team, key -> new ArrayDeque<>()).add(promise);
        } else {
            promise.complete(ids.poll());
        }
        if (ids.size() < REFILL_THRESHOLD) {
            refill(team);
        }
        return promise.future();
    }

    /**
     * Reserves a block of ids unless a reservation is pending. A failed reservation is retried only while a job waits
     * for an id: unlimited retries would overflow the stack when the closed client fails reservations immediately.
     */
    synchronized void refill(String team) {
        if (Boolean.TRUE.equals(pendingReservations.put(team, true))) {
            return;
        }
        reserver.reserve(team, BLOCK_SIZE).onComplete(ids -> add(team, ids), e -> {
            endReservation(team);
            if (hasWaitingJob(team)) {
                refill(team);
            }
        });
    }

    private synchronized boolean hasWaitingJob(String team) {
        return !waitingJobs.getOrDefault(team, new ArrayDeque<>()).isEmpty();
    }

    private synchronized void endReservation(String team) {
        pendingReservations.put(team, false);
    }

    private synchronized void add(String team, List<String> ids) {
        endReservation(team);
        Deque<String> pool = availableIds.computeIfAbsent(team, key -> new ArrayDeque<>());
        pool.addAll(ids);
        Deque<Promise<String>> promises = waitingJobs.getOrDefault(team, new ArrayDeque<>());
        while (!promises.isEmpty() && !pool.isEmpty()) {
            promises.poll().complete(pool.poll());
        }
        if (pool.size() < REFILL_THRESHOLD) {
            refill(team);
        }
    }
}
