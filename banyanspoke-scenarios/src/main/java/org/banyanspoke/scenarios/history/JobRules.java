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

    /** Every task of a job starts at most once. */
    public static List<String> startsAtMostOnce(History history) {
        Map<TaskKey, Long> starts = startCounts(history);
        return starts.entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .map(e -> "task " + e.getKey().task() + " of job " + e.getKey().jobId() + " started " + e.getValue()
                        + " times")
                .toList();
    }

    /** A task declared as non-idempotent starts at most once, across all servers and resubmissions. */
    public static List<String> nonIdempotentAtMostOnce(History history) {
        Map<TaskKey, Long> starts = startCounts(history);
        Set<String> violations = new HashSet<>();
        history.eventsOfType(Submitted.class)
                .forEach(s -> s.nonIdempotent().stream()
                        .filter(task -> starts.getOrDefault(new TaskKey(s.jobId(), task), 0L) > 1)
                        .forEach(task -> violations.add(
                                "non-idempotent task " + task + " of job " + s.jobId() + " started more than once")));
        return List.copyOf(violations);
    }

    private static Map<TaskKey, Long> startCounts(History history) {
        return history.eventsOfType(Started.class)
                .collect(Collectors.groupingBy(s -> new TaskKey(s.jobId(), s.task()), Collectors.counting()));
    }

    /** A response with state COMPLETE has the result of every task; any other response has none. */
    public static List<String> allResultsOrNone(History history) {
        Map<String, Submitted> requests = requests(history);
        List<String> violations = new ArrayList<>();
        history.eventsOfType(Answered.class).forEach(answer -> {
            Submitted request = requests.get(answer.request());
            Set<String> expected =
                    answer.state() == JobState.COMPLETE && request != null ? Set.copyOf(request.tasks()) : Set.of();
            if (!answer.results().keySet().equals(expected)) {
                violations.add("response to " + answer.request() + " has "
                        + answer.results().size() + " results, expected " + expected.size());
            }
        });
        return violations;
    }

    /** Every request ends with a final response or a lost connection. */
    public static List<String> everyRequestEnds(History history) {
        Set<String> ended = new HashSet<>();
        history.eventsOfType(Answered.class)
                .filter(a -> a.state() != JobState.RUNNING)
                .forEach(a -> ended.add(a.request()));
        history.eventsOfType(Event.ConnectionLost.class).forEach(c -> ended.add(c.request()));
        return history.eventsOfType(Submitted.class)
                .filter(s -> !ended.contains(s.request()))
                .map(s -> "request " + s.request() + " for job " + s.jobId()
                        + " has neither a final response nor a lost connection")
                .toList();
    }

    /** A response names the job of its request and contains only results that servers computed for that job. */
    public static List<String> answersMatchTheirRequest(History history) {
        Map<String, Submitted> requests = requests(history);
        Map<TaskKey, Set<String>> computed = new HashMap<>();
        history.eventsOfType(Finished.class)
                .forEach(f -> computed.computeIfAbsent(new TaskKey(f.jobId(), f.task()), key -> new HashSet<>())
                        .add(f.result()));
        List<String> violations = new ArrayList<>();
        history.eventsOfType(Answered.class).forEach(answer -> {
            Submitted request = requests.get(answer.request());
            if (request == null || (answer.jobId() != null && !answer.jobId().equals(request.jobId()))) {
                violations.add("request " + answer.request() + " received a response for job " + answer.jobId());
                return;
            }
            answer.results().forEach((task, result) -> {
                if (!computed.getOrDefault(new TaskKey(request.jobId(), task), Set.of())
                        .contains(result)) {
                    violations.add("result of task " + task + " of job " + request.jobId()
                            + " was not computed by any server");
                }
            });
        });
        return violations;
    }

    /** If every request for a job was answered with NOT_RUN, no task of the job started. */
    public static List<String> refusedJobStartsNoTask(History history) {
        Map<String, Submitted> requests = requests(history);
        Set<String> refused = new HashSet<>();
        Set<String> possiblyRun = new HashSet<>();
        Set<String> answered = new HashSet<>();
        history.eventsOfType(Answered.class)
                .filter(a -> requests.containsKey(a.request()))
                .forEach(a -> {
                    answered.add(a.request());
                    String job = requests.get(a.request()).jobId();
                    (a.execution() == Execution.NOT_RUN ? refused : possiblyRun).add(job);
                });
        // A request without a response may have run the job, since a NOT_RUN response covers only its own request.
        requests.values().stream()
                .filter(s -> !answered.contains(s.request()))
                .forEach(s -> possiblyRun.add(s.jobId()));
        return history.eventsOfType(Started.class)
                .filter(s -> refused.contains(s.jobId()) && !possiblyRun.contains(s.jobId()))
                .map(s -> "task " + s.task() + " of job " + s.jobId()
                        + " started although all responses for the job say NOT_RUN")
                .toList();
    }

    private static Map<String, Submitted> requests(History history) {
        return history.eventsOfType(Submitted.class).collect(Collectors.toMap(Submitted::request, s -> s));
    }
}
