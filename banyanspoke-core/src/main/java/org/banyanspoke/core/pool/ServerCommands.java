package org.banyanspoke.core.pool;

import java.util.List;
import java.util.function.Consumer;

/**
 * Asynchronous commands to backend servers. Each reply is delivered exactly once, on the thread that issues the
 * commands, and never before the call that issued the command has returned.
 */
public interface ServerCommands {
    /** Result of a command. */
    enum Status {
        /** Executed now or by an earlier command. */
        OK,
        /** The server has seen a higher fencing token; not executed. */
        FENCED,
        /** A run of the task with this number or a higher one was stopped or has ended there; not executed. */
        STALE_RUN,
        /** The deadline had passed on the server's clock; not executed. */
        TOO_LATE,
        /** The server lacks free capacity for the task; not executed. */
        NO_ROOM,
        /** The server refuses work temporarily; not executed. */
        UNHEALTHY,
        /** A different server uses this address, or the command is invalid; not executed. */
        REJECTED,
        /** The server's process has another start time than the one that the command names; not executed. */
        RESTARTED,
        /** No connection to the server; not executed. */
        NOT_SENT,
        /** No reply within the timeout. The command may have been executed, or may still be executed seconds later. */
        UNKNOWN
    }

    /** Reason for the end of a run. */
    enum EndKind {
        /** The task completed. */
        DONE,
        /** The task or the server failed. */
        FAILED,
        /** Stopped by a command. */
        STOPPED,
        /** The lease expired, or the server no longer lists the run. */
        LAPSED
    }

    /**
     * Command to start a run.
     *
     * @param run run to start
     * @param payload data passed to the task
     * @param deadlineMillis end of the lease on the server's clock; the server starts no run after it and kills the
     *     runs that are left then
     * @param fencingToken fencing token of the owner
     * @param serverStartTimeMillis Unix time at which the server's process started, in milliseconds; no other process
     *     of the server executes the command, also if the server restarts while the command is on its way. 0 if it is
     *     not known, and any process may execute the command
     * @param timeoutMillis timeout for the reply
     */
    record StartCommand(
            RunKey run,
            String payload,
            long deadlineMillis,
            long fencingToken,
            long serverStartTimeMillis,
            long timeoutMillis) {}

    /**
     * Command to stop a run, or to prevent it from starting later.
     *
     * @param run run to stop
     * @param fencingToken fencing token of the owner
     * @param timeoutMillis timeout for the reply
     */
    record StopCommand(RunKey run, long fencingToken, long timeoutMillis) {}

    /**
     * Command to renew the lease of all runs on a server and to list them.
     *
     * @param deadlineMillis new end of the lease on the server's clock; 0 to leave it unchanged
     * @param fencingToken fencing token of the owner
     * @param acknowledged highest processed end number; the server may discard the ends up to it
     * @param waitMillis how long the server may wait for a run to end before it replies
     * @param timeoutMillis timeout for the reply
     */
    record RenewCommand(
            long deadlineMillis, long fencingToken, long acknowledged, long waitMillis, long timeoutMillis) {}

    /**
     * Progress of a run that is on the server.
     *
     * @param run the run
     * @param percent completed part of its work, 0 to 100
     */
    record RunProgress(RunKey run, int percent) {}

    /**
     * End of a run that has not been acknowledged.
     *
     * @param number sequence number, counted from 1 since the server started
     * @param run the run
     * @param kind reason for the end
     */
    record RunEnd(long number, RunKey run, EndKind kind) {}

    /**
     * Reply to a start or stop command.
     *
     * @param status result of the command
     * @param clockMillis current time on the server's clock; 0 if the reply lacks it
     */
    record Reply(Status status, long clockMillis) {}

    /**
     * Reply to a renew command.
     *
     * @param status result of the command
     * @param clockMillis current time on the server's clock; 0 if the reply lacks it
     * @param startTimeMillis Unix time at which the server started, in milliseconds; 0 if the reply lacks it
     * @param running all runs on the server
     * @param ended unacknowledged ends, oldest first
     */
    record RenewReply(
            Status status, long clockMillis, long startTimeMillis, List<RunProgress> running, List<RunEnd> ended) {}

    /** Sends a start command. */
    void start(ServerDescriptor server, StartCommand command, Consumer<Reply> onReply);

    /** Sends a stop command. */
    void stop(ServerDescriptor server, StopCommand command, Consumer<Reply> onReply);

    /** Sends a renew command. */
    void renew(ServerDescriptor server, RenewCommand command, Consumer<RenewReply> onReply);
}
