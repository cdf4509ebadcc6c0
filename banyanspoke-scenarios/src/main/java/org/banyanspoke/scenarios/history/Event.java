package org.banyanspoke.scenarios.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.job.JobState;

/**
 * One entry of a history: an observation by a caller, an operator or a backend server. Times are in milliseconds and
 * come from the clock of the test machine, which all processes share.
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
     * A caller sent a submission request.
     *
     * @param request id of the request; each resubmission has its own
     * @param jobId the job
     * @param tasks task ids in order of submission
     * @param nonIdempotent ids of the tasks that are declared as non-idempotent
     */
    record Submitted(long atMillis, String request, String jobId, List<String> tasks, List<String> nonIdempotent)
            implements Event {}

    /**
     * A caller received a response to a request.
     *
     * @param jobId the job named by the response; null if it names none
     * @param state null for an error that is not about a job
     * @param execution what the error states about execution; null if the response is not an error
     * @param results results by task id
     */
    record Answered(
            long atMillis,
            String request,
            String jobId,
            JobState state,
            Execution execution,
            Map<String, String> results)
            implements Event {}

    /** A request failed without a response because its connection to the host broke. */
    record ConnectionLost(long atMillis, String request, String host) implements Event {}

    /** A backend server started a task. */
    record Started(long atMillis, String server, String jobId, String task) implements Event {}

    /** A backend server finished a task and returned a result. */
    record Finished(long atMillis, String server, String jobId, String task, String result) implements Event {}

    /** A backend server began to leave, as stated by a ticket, the host list or the server itself. */
    record Leaving(long atMillis, String server) implements Event {}

    /** A graceful shutdown of an entry host began. */
    record PlannedStop(long atMillis, String host) implements Event {}

    /** The process of an entry host was killed; a graceful shutdown in progress may now abort requests. */
    record HostKilled(long atMillis, String host) implements Event {}

    /** A new process replaced that of an entry host that had exited. */
    record HostStarted(long atMillis, String host) implements Event {}

    /** A ticket that puts a backend server back in service is about to be sent. */
    record InService(long atMillis, String server) implements Event {}

    /** An operator received confirmation that a ticket was accepted. */
    record TicketAccepted(long atMillis, long number, String ticketId) implements Event {}

    /**
     * An entry host reported its configuration number.
     *
     * @param reachable whether the host was able to reach the log or a peer during the last 5 s
     */
    record ConfigSeen(long atMillis, String host, long number, boolean reachable) implements Event {}
}
