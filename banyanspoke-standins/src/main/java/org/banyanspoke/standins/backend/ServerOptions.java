package org.banyanspoke.standins.backend;

/**
 * Properties and injected faults of a simulated backend server.
 *
 * @param slots maximum number of concurrent tasks; further tasks are queued in FIFO order
 * @param connections maximum number of open connections; further ones are closed on accept
 * @param speed divisor of run times
 * @param instant whether tasks complete immediately without taking a slot
 * @param reportsLoad whether responses carry the {@code endpoint-load-metrics} header
 * @param errorFraction fraction of tasks that fail at the end of their run time, 0 to 1
 * @param failEverything whether every task fails {@code failMillis} after its start
 * @param failMillis run time of a task under {@code failEverything}, in milliseconds
 * @param stragglerFraction fraction of tasks that are stragglers, 0 to 1
 * @param stragglerFactor run time multiplier of a straggler
 * @param frozen whether requests, task completions and lease expiries are deferred until the server is unfrozen
 * @param leaving whether new tasks are rejected as not started
 * @param down whether a process crash is simulated: connections and the port are closed and tasks are dropped
 */
public record ServerOptions(
        int slots,
        int connections,
        double speed,
        boolean instant,
        boolean reportsLoad,
        double errorFraction,
        boolean failEverything,
        long failMillis,
        double stragglerFraction,
        double stragglerFactor,
        boolean frozen,
        boolean leaving,
        boolean down) {
    /** 8 slots, 64 connections, speed 1 and no faults. */
    public static final ServerOptions DEFAULT =
            new ServerOptions(8, 64, 1, false, true, 0, false, 2, 0, 10, false, false, false);

    /** Checks the ranges. */
    public ServerOptions {
        if (slots < 1 || connections < 1 || !(speed > 0)) {
            throw new IllegalArgumentException("slots, connections and speed must be positive");
        }
    }
}
