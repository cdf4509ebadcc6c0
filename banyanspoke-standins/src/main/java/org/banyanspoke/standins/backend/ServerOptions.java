package org.banyanspoke.standins.backend;

/**
 * Properties and faults of one backend server.
 *
 * @param slots tasks executed at once; further tasks wait in arrival order
 * @param connections connections accepted; further ones are closed at once
 * @param speed run times are divided by this
 * @param instant whether tasks take no slot and no time
 * @param reportsLoad whether responses carry the load header
 * @param errorFraction share of tasks that fail at the end of their run time, 0 to 1
 * @param failEverything whether every task fails shortly after its start
 * @param failMillis run time of a task under {@code failEverything} in milliseconds
 * @param stragglerFraction share of tasks whose run time is multiplied, 0 to 1
 * @param stragglerFactor multiplier of the run time of a straggler
 * @param frozen whether nothing is read, started or answered; all of it happens when the server thaws
 * @param leaving whether new tasks are refused as not started
 * @param down whether the process is gone: connections are closed, tasks are dropped and the port is closed
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
