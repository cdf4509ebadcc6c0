package org.banyanspoke.scenarios.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.scenarios.history.Event.Answered;
import org.banyanspoke.scenarios.history.Event.Finished;
import org.banyanspoke.scenarios.history.Event.Started;
import org.banyanspoke.scenarios.history.Event.Submitted;

/** Rules about jobs and their tasks. */
public final class JobRules {
    private JobRules() {}

    private record TaskKey(String jobId, String task) {}

    /** Every task of a submission starts at most once. */
    public static List<String> startsAtMostOnce(History history) {
        Map<TaskKey, Long> starts = startCounts(history);
        return starts.entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .map(e -> "task " + e.getKey().task() + " of job " + e.getKey().jobId() + " started " + e.getValue()
                        + " times")
                .toList();
    }

    /** A task marked as non-idempotent starts at most once, over all servers and resubmissions. */
    public static List<String> nonIdempotentAtMostOnce(History history) {
        Map<TaskKey, Long> starts = startCounts(history);
        Set<String> violations = new HashSet<>();
        history.all(Submitted.class)
                .forEach(s -> s.nonIdempotent().stream()
                        .filter(task -> starts.getOrDefault(new TaskKey(s.jobId(), task), 0L) > 1)
                        .forEach(task -> violations.add(
                                "non-idempotent task " + task + " of " + s.jobId() + " ran repeatedly")));
        return List.copyOf(violations);
    }

    private static Map<TaskKey, Long> startCounts(History history) {
        return history.all(Started.class)
                .collect(Collectors.groupingBy(s -> new TaskKey(s.jobId(), s.task()), Collectors.counting()));
    }

    /** A complete answer has the result of every task; any other answer has none. */
    public static List<String> wholeOrFailed(History history) {
        Map<String, Submitted> requests = requests(history);
        List<String> violations = new ArrayList<>();
        history.all(Answered.class).forEach(answer -> {
            Submitted request = requests.get(answer.request());
            Set<String> expected =
                    answer.state() == JobState.COMPLETE && request != null ? Set.copyOf(request.tasks()) : Set.of();
            if (!answer.results().keySet().equals(expected)) {
                violations.add("answer to " + answer.request() + " has "
                        + answer.results().size() + " results, expected " + expected.size());
            }
        });
        return violations;
    }

    /** Every request ends: with a final answer, or with a lost connection. */
    public static List<String> everyRequestEnds(History history) {
        Set<String> ended = new HashSet<>();
        history.all(Answered.class).filter(a -> a.state() != JobState.RUNNING).forEach(a -> ended.add(a.request()));
        history.all(Event.ConnectionLost.class).forEach(c -> ended.add(c.request()));
        return history.all(Submitted.class)
                .filter(s -> !ended.contains(s.request()))
                .map(s -> "request " + s.request() + " for job " + s.jobId() + " never ended")
                .toList();
    }

    /** An answer names the job that was asked for, and its results are those that servers computed for that job. */
    public static List<String> answersBelongToTheirRequest(History history) {
        Map<String, Submitted> requests = requests(history);
        Map<TaskKey, Set<String>> computed = new HashMap<>();
        history.all(Finished.class)
                .forEach(f -> computed.computeIfAbsent(new TaskKey(f.jobId(), f.task()), key -> new HashSet<>())
                        .add(f.result()));
        List<String> violations = new ArrayList<>();
        history.all(Answered.class).forEach(answer -> {
            Submitted request = requests.get(answer.request());
            if (request == null || (answer.jobId() != null && !answer.jobId().equals(request.jobId()))) {
                violations.add("request " + answer.request() + " was answered with job " + answer.jobId());
                return;
            }
            answer.results().forEach((task, result) -> {
                if (!computed.getOrDefault(new TaskKey(request.jobId(), task), Set.of())
                        .contains(result)) {
                    violations.add("result of task " + task + " of " + request.jobId() + " was not computed for it");
                }
            });
        });
        return violations;
    }

    /** If every answer for a job says that it was not run, no task of it was started. */
    public static List<String> notRunMeansNotRun(History history) {
        Map<String, Submitted> requests = requests(history);
        Set<String> refused = new HashSet<>();
        Set<String> otherwise = new HashSet<>();
        Set<String> answered = new HashSet<>();
        history.all(Answered.class)
                .filter(a -> requests.containsKey(a.request()))
                .forEach(a -> {
                    answered.add(a.request());
                    String job = requests.get(a.request()).jobId();
                    (a.execution() == Execution.NOT_RUN ? refused : otherwise).add(job);
                });
        // A request without an answer may have run, whatever later answers for the job say about themselves.
        requests.values().stream().filter(s -> !answered.contains(s.request())).forEach(s -> otherwise.add(s.jobId()));
        return history.all(Started.class)
                .filter(s -> refused.contains(s.jobId()) && !otherwise.contains(s.jobId()))
                .map(s ->
                        "task " + s.task() + " of job " + s.jobId() + " started though the job was refused as not run")
                .toList();
    }

    private static Map<String, Submitted> requests(History history) {
        return history.all(Submitted.class).collect(Collectors.toMap(Submitted::request, s -> s));
    }
}
