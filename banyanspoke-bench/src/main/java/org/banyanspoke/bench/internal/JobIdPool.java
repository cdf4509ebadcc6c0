package org.banyanspoke.bench.internal;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Job ids that callers reserved, by team. Thread safe. */
final class JobIdPool {
    private static final int BLOCK = 100;
    private static final int LOW = 50;

    /** Reserves job ids. */
    @FunctionalInterface
    interface Reservation {
        Future<List<String>> reserve(String team, int count);
    }

    private final Reservation reservation;
    private final Map<String, Deque<String>> free = new HashMap<>();
    private final Map<String, Deque<Promise<String>>> waiting = new HashMap<>();
    private final Map<String, Boolean> reserving = new HashMap<>();

    JobIdPool(Reservation reservation) {
        this.reservation = reservation;
    }

    /** Returns an id as soon as there is one. */
    synchronized Future<String> take(String team) {
        Deque<String> ids = free.computeIfAbsent(team, key -> new ArrayDeque<>());
        Promise<String> promise = Promise.promise();
        if (ids.isEmpty()) {
            waiting.computeIfAbsent(team, key -> new ArrayDeque<>()).add(promise);
        } else {
            promise.complete(ids.poll());
        }
        if (ids.size() < LOW) {
            fill(team);
        }
        return promise.future();
    }

    /**
     * Reserves a block of ids unless a reservation is on its way. A failed one is repeated while a job waits for an id; a
     * repetition without end would overflow the stack when the client is closed and reservations fail at once.
     */
    synchronized void fill(String team) {
        if (Boolean.TRUE.equals(reserving.put(team, true))) {
            return;
        }
        reservation.reserve(team, BLOCK).onComplete(ids -> add(team, ids), e -> {
            noteEnd(team);
            if (isAwaited(team)) {
                fill(team);
            }
        });
    }

    private synchronized boolean isAwaited(String team) {
        return !waiting.getOrDefault(team, new ArrayDeque<>()).isEmpty();
    }

    private synchronized void noteEnd(String team) {
        reserving.put(team, false);
    }

    private synchronized void add(String team, List<String> ids) {
        noteEnd(team);
        Deque<String> pool = free.computeIfAbsent(team, key -> new ArrayDeque<>());
        pool.addAll(ids);
        Deque<Promise<String>> promises = waiting.getOrDefault(team, new ArrayDeque<>());
        while (!promises.isEmpty() && !pool.isEmpty()) {
            promises.poll().complete(pool.poll());
        }
        if (pool.size() < LOW) {
            fill(team);
        }
    }
}
