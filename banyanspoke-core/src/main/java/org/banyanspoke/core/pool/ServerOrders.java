package org.banyanspoke.core.pool;

import java.util.List;
import java.util.function.Consumer;

/**
 * Orders to backend servers. Every reply arrives exactly once, on the thread that gives orders, and never inside the call
 * that gave the order.
 */
public interface ServerOrders {
    /** What became of an order. */
    enum Status {
        /** Done, or done before. */
        OK,
        /** The server has seen a higher fencing token; nothing was done. */
        FENCED,
        /** A run with this number or a higher one has been stopped or has ended there; nothing was done. */
        STALE_RUN,
        /** The deadline had passed on the server's clock; nothing was done. */
        TOO_LATE,
        /** The task does not fit; nothing was done. */
        NO_ROOM,
        /** The server refuses work for now; nothing was done. */
        UNHEALTHY,
        /** Another server answers at this address, or the order is not valid; nothing was done. */
        REJECTED,
        /** No connection; nothing was done. */
        NOT_SENT,
        /** No answer in time. The order may be carried out now or seconds later. */
        UNKNOWN
    }

    /** How a run has ended. */
    enum EndKind {
        /** All its work is done. */
        DONE,
        /** By its own fault or the server's. */
        FAILED,
        /** By an order. */
        STOPPED,
        /** The lease ran out, or the run vanished. */
        LAPSED
    }

    /**
     * Start a task.
     *
     * @param run the run
     * @param payload passed to the task
     * @param deadlineMillis on the server's clock; the server starts nothing later and kills what runs then
     * @param fencingToken of the owner
     * @param timeoutMillis limit for the answer
     */
    record Start(RunKey run, String payload, long deadlineMillis, long fencingToken, long timeoutMillis) {}

    /**
     * Stop a run, or keep it from ever starting.
     *
     * @param run the run
     * @param fencingToken of the owner
     * @param timeoutMillis limit for the answer
     */
    record Stop(RunKey run, long fencingToken, long timeoutMillis) {}

    /**
     * Renew the lease of all that runs on a server and list it.
     *
     * @param deadlineMillis new end of the lease on the server's clock; 0 to leave it
     * @param fencingToken of the owner
     * @param acknowledged ends up to this number are taken note of and may be forgotten
     * @param waitMillis how long the server may wait for an end before it answers
     * @param timeoutMillis limit for the answer
     */
    record Renew(long deadlineMillis, long fencingToken, long acknowledged, long waitMillis, long timeoutMillis) {}

    /**
     * A run that is there.
     *
     * @param run the run
     * @param percent share of its work that is done, 0 to 100
     */
    record Running(RunKey run, int percent) {}

    /**
     * An end that has not been taken note of.
     *
     * @param number counts the ends of the server's life from 1
     * @param run the run
     * @param kind how it ended
     */
    record Ended(long number, RunKey run, EndKind kind) {}

    /**
     * Answer to a start or a stop.
     *
     * @param status what became of it
     * @param clockMillis the server's clock; 0 if it did not say
     */
    record Reply(Status status, long clockMillis) {}

    /**
     * Answer to a renewal.
     *
     * @param status what became of it
     * @param clockMillis the server's clock; 0 if it did not say
     * @param bornMillis Unix time of the server's start in milliseconds; 0 if it did not say
     * @param running all that runs
     * @param ended ends not yet taken note of, oldest first
     */
    record RenewReply(Status status, long clockMillis, long bornMillis, List<Running> running, List<Ended> ended) {}

    /** Orders a start. */
    void start(ServerEntry server, Start order, Consumer<Reply> onReply);

    /** Orders a stop. */
    void stop(ServerEntry server, Stop order, Consumer<Reply> onReply);

    /** Renews the lease and asks for the lists. */
    void renew(ServerEntry server, Renew order, Consumer<RenewReply> onReply);
}
