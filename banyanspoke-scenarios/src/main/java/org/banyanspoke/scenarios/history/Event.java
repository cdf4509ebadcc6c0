package org.banyanspoke.scenarios.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.job.JobState;

/**
 * One line of a history: what a caller, an operator or a backend server saw. Times are milliseconds on the one clock of the test
 * machine.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Event.Submitted.class, name = "submitted"),
    @JsonSubTypes.Type(value = Event.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Event.ConnectionLost.class, name = "connectionLost"),
    @JsonSubTypes.Type(value = Event.Started.class, name = "started"),
    @JsonSubTypes.Type(value = Event.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = Event.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = Event.PlannedStop.class, name = "plannedStop"),
    @JsonSubTypes.Type(value = Event.HostKilled.class, name = "hostKilled"),
    @JsonSubTypes.Type(value = Event.HostStarted.class, name = "hostStarted"),
    @JsonSubTypes.Type(value = Event.InService.class, name = "inService"),
    @JsonSubTypes.Type(value = Event.TicketAccepted.class, name = "ticketAccepted"),
    @JsonSubTypes.Type(value = Event.ConfigSeen.class, name = "configSeen")
})
public sealed interface Event {
    /** Returns the time of the event in milliseconds. */
    long atMillis();

    /**
     * A caller sent a submission.
     *
     * @param request unique for each request, also for resubmissions
     * @param jobId the job
     * @param tasks task ids in order
     * @param nonIdempotent ids of the tasks that are marked as non-idempotent
     */
    record Submitted(long atMillis, String request, String jobId, List<String> tasks, List<String> nonIdempotent)
            implements Event {}

    /**
     * A caller received an answer to a request.
     *
     * @param jobId the job that the answer names; null if it names none
     * @param state null for an error that concerns no job
     * @param execution null for a complete or running job
     * @param results result by task id
     */
    record Answered(
            long atMillis,
            String request,
            String jobId,
            JobState state,
            Execution execution,
            Map<String, String> results)
            implements Event {}

    /** A request ended without an answer because its connection to the host failed. */
    record ConnectionLost(long atMillis, String request, String host) implements Event {}

    /** A backend server started a task. */
    record Started(long atMillis, String server, String jobId, String task) implements Event {}

    /** A backend server finished a task with this result. */
    record Finished(long atMillis, String server, String jobId, String task, String result) implements Event {}

    /** From now on the backend server is leaving, by any of the three sources. */
    record Leaving(long atMillis, String server) implements Event {}

    /** A graceful shutdown of an entry host began. */
    record PlannedStop(long atMillis, String host) implements Event {}

    /** The process of an entry host was killed; a planned stop of it may now cut off requests. */
    record HostKilled(long atMillis, String host) implements Event {}

    /** A new process took the place of an entry host that had ended. */
    record HostStarted(long atMillis, String host) implements Event {}

    /** From now on a ticket may put the backend server in service again. */
    record InService(long atMillis, String server) implements Event {}

    /** An operator was told that a ticket is accepted. */
    record TicketAccepted(long atMillis, long number, String ticketId) implements Event {}

    /**
     * An entry host showed its configuration number.
     *
     * @param reachable whether the host could reach the log or a peer during the last 5 s
     */
    record ConfigSeen(long atMillis, String host, long number, boolean reachable) implements Event {}
}
