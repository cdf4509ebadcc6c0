package org.banyanspoke.core.dispatch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.api.job.TaskAnswer;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.DispatcherFixture.Caller;

/**
 * Record of what callers and backend servers observed, with consistency checks. The checks share no code with the
 * dispatcher.
 */
final class History {
    enum Violation {
        STARTED_TWICE,
        STARTED_AFTER_END,
        STARTED_LATE,
        STARTED_ON_LEAVING_SERVER,
        REFUSED_AND_STARTED,
        NOT_ONE_ANSWER,
        DIFFERENT_ANSWERS,
        INCOMPLETE_ANSWER,
        FALSE_NOT_RUN,
        NOT_STOPPED,
        LEAKED
    }

    /** Submission of a job; {@code error} is null if it was accepted. */
    record Call(JobId job, JobRequest request, Caller caller, long nanos, ErrorKind error) {}

    /** Request that reached the transport, with the state that applied at that time. */
    record Start(
            TaskAttempt attempt, long nanos, Instant wall, Instant contractExpiry, boolean onLeaving, boolean ended) {}

    /** Identifies a task of a job. */
    private record Task(JobId job, TaskId task) {}

    final List<Call> calls = new ArrayList<>();
    final List<Start> starts = new ArrayList<>();
    final Map<TaskAttempt, Outcome> outcomes = new HashMap<>();
    final Set<TaskAttempt> stopped = new HashSet<>();
    /** Attempts that had no result when their job ended. */
    final Set<TaskAttempt> openAtEnd = new HashSet<>();

    private final Map<Task, TaskAttempt> done = new HashMap<>();
    /** Jobs for which a request reached, or may have reached, a server. */
    private final Set<JobId> written = new HashSet<>();

    private final List<Violation> violations = new ArrayList<>();

    /** Checks the entire history after all jobs have ended. */
    List<Violation> check(DispatcherStats stats) {
        violations.clear();
        index();
        checkIdle(stats);
        checkStarts();
        checkCallers();
        checkAnswers();
        require(stopped.containsAll(openAtEnd), Violation.NOT_STOPPED);
        return violations;
    }

    private void index() {
        for (Start start : starts) {
            TaskAttempt attempt = start.attempt();
            Outcome outcome = outcomes.get(attempt);
            if (outcome == Outcome.DONE) {
                done.putIfAbsent(new Task(attempt.job(), attempt.task().id()), attempt);
            }
            if (outcome != Outcome.NOT_SENT) {
                written.add(attempt.job());
            }
        }
    }

    private void checkIdle(DispatcherStats stats) {
        require(stats.runningJobs() == 0 && stats.tasksInFlight() == 0, Violation.LEAKED);
        require(stats.waitingTasks().values().stream().allMatch(waiting -> waiting == 0), Violation.LEAKED);
        require(stats.teamDemand().values().stream().allMatch(team -> team.tasksInFlight() == 0), Violation.LEAKED);
        require(stats.servers().stream().allMatch(server -> server.inFlight() == 0), Violation.LEAKED);
    }

    private void checkStarts() {
        Map<Task, TaskAttempt> latest = new HashMap<>();
        for (Start start : starts) {
            TaskAttempt attempt = start.attempt();
            TaskAttempt earlier =
                    latest.put(new Task(attempt.job(), attempt.task().id()), attempt);
            require(earlier == null || mayRetry(earlier), Violation.STARTED_TWICE);
            require(!start.ended(), Violation.STARTED_AFTER_END);
            require(!start.onLeaving(), Violation.STARTED_ON_LEAVING_SERVER);
            require(start.wall().isBefore(start.contractExpiry()), Violation.STARTED_LATE);
            require(start.nanos() < deadlineNanos(attempt.job()), Violation.STARTED_LATE);
        }
    }

    /** Returns whether the task may be retried after this attempt. */
    private boolean mayRetry(TaskAttempt attempt) {
        Outcome outcome = outcomes.get(attempt);
        return outcome == Outcome.NOT_SENT
                || (outcome == Outcome.REFUSED_BY_SERVER && attempt.task().idempotent());
    }

    private long deadlineNanos(JobId job) {
        return calls.stream()
                        .filter(call -> call.job().equals(job) && call.error() == null)
                        .mapToLong(Call::nanos)
                        .min()
                        .orElse(Long.MIN_VALUE)
                + DispatcherFixture.PROMISE_MILLIS * 1_000_000;
    }

    private void checkCallers() {
        Set<JobId> accepted = new HashSet<>();
        Map<JobId, JobAnswer> answers = new HashMap<>();
        for (Call call : calls) {
            require(call.caller().answers.size() == (call.error() == null ? 1 : 0), Violation.NOT_ONE_ANSWER);
            if (call.error() == null) {
                accepted.add(call.job());
            }
            for (JobAnswer answer : call.caller().answers) {
                JobAnswer first = answers.putIfAbsent(call.job(), answer);
                require(first == null || first.equals(answer), Violation.DIFFERENT_ANSWERS);
            }
        }
        for (Start start : starts) {
            require(accepted.contains(start.attempt().job()), Violation.REFUSED_AND_STARTED);
        }
    }

    private void checkAnswers() {
        for (Call call : calls) {
            for (JobAnswer answer : call.caller().answers) {
                checkAnswer(call, answer);
            }
        }
    }

    private void checkAnswer(Call call, JobAnswer answer) {
        List<TaskAnswer> expected = new ArrayList<>();
        if (answer.state() == JobState.COMPLETE) {
            call.request().tasks().forEach(task -> expected.add(expectedResult(call.job(), task.id())));
        }
        require(expected.equals(answer.tasks()), Violation.INCOMPLETE_ANSWER);
        require(answer.state() != JobState.RUNNING, Violation.INCOMPLETE_ANSWER);
        require(total(answer.counts()) == call.request().tasks().size(), Violation.INCOMPLETE_ANSWER);
        boolean notRun = answer.error() != null && answer.error().execution() == Execution.NOT_RUN;
        require(!notRun || !written.contains(call.job()), Violation.FALSE_NOT_RUN);
    }

    private TaskAnswer expectedResult(JobId job, TaskId task) {
        TaskAttempt attempt = done.get(new Task(job, task));
        return attempt == null
                ? new TaskAnswer(task, "no server completed it", null)
                : new TaskAnswer(task, FakeTransport.resultText(attempt), attempt.server());
    }

    private static int total(JobCounts counts) {
        return counts.done() + counts.failed() + counts.unknown() + counts.notStarted();
    }

    private void require(boolean holds, Violation violation) {
        if (!holds && !violations.contains(violation)) {
            violations.add(violation);
        }
    }
}
