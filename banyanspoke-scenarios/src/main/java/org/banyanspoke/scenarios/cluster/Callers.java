package org.banyanspoke.scenarios.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.bench.internal.JsonHttpClient;
import org.banyanspoke.scenarios.history.Event;

/**
 * Callers that submit jobs concurrently and follow the retry protocol of docs/callers.md: after a lost response or an
 * unreachable owner they resubmit the same id and body through the next entry host until the job has ended.
 */
public final class Callers implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_MILLIS = 30_000;
    private static final long SHORT_REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final long RETRY_TIMEOUT_MILLIS = 45_000;

    /** Outcome of a job for its caller; the error kind is null if the job is complete. */
    private record JobOutcome(ErrorKind errorKind) {}

    private record Job(Contract contract, String id, Map<String, Object> body) {
        String path() {
            return "/v1/teams/" + contract.team() + "/jobs/" + id;
        }
    }

    private final TestCluster cluster;
    private final HistoryRecorder recorder;
    private final JsonHttpClient http = new JsonHttpClient();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<Future<JobOutcome>> pendingCalls = new CopyOnWriteArrayList<>();
    private final AtomicLong requestCounter = new AtomicLong();
    private final Map<String, String> resultByTask = new ConcurrentHashMap<>();
    private final Set<Job> unansweredJobs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger reservedJobCount = new AtomicInteger();
    private final Map<String, String> firstErrorMessages = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> jobsByOutcome = new ConcurrentHashMap<>();

    /** Creates callers of a cluster. */
    public Callers(TestCluster cluster, HistoryRecorder recorder) {
        this.cluster = cluster;
        this.recorder = recorder;
    }

    /**
     * Submits jobs concurrently and returns without waiting for them.
     *
     * @param host index of the first host for each job; -1 for round robin over all hosts
     * @param concurrentSubmissions number of concurrent submissions of each job, each starting at a different host
     */
    public void submit(int jobs, int tasks, long runMillis, boolean idempotent, int host, int concurrentSubmissions) {
        submit(Contract.MAIN, jobs, tasks, runMillis, idempotent, host, concurrentSubmissions);
    }

    /** Submits jobs of a contract concurrently, as {@link #submit(int, int, long, boolean, int, int)}. */
    public void submit(
            Contract contract,
            int jobs,
            int tasks,
            long runMillis,
            boolean idempotent,
            int host,
            int concurrentSubmissions) {
        for (int i = 0; i < jobs; i++) {
            int first = host < 0 ? i % cluster.hosts() : host;
            pendingCalls.add(executor.submit(
                    () -> reserveAndSubmit(contract, first, tasks, runMillis, idempotent, concurrentSubmissions)));
        }
    }

    /** Submits one job, waits for its outcome and returns {@code complete} or the name of the error kind. */
    public String call(
            Contract contract, int tasks, long runMillis, boolean idempotent, int host, int concurrentSubmissions)
            throws Exception {
        return outcomeName(reserveAndSubmit(contract, host, tasks, runMillis, idempotent, concurrentSubmissions));
    }

    private JobOutcome reserveAndSubmit(
            Contract contract, int first, int tasks, long runMillis, boolean idempotent, int concurrentSubmissions)
            throws Exception {
        String jobId = reserveJobId(contract, first);
        if (jobId == null) {
            return recordOutcome(new JobOutcome(ErrorKind.NOT_CONFIGURED));
        }
        reservedJobCount.incrementAndGet();
        Job job = new Job(contract, jobId, body(contract, jobId, tasks, runMillis, idempotent));
        unansweredJobs.add(job);
        List<Future<JobOutcome>> otherSubmissions = new ArrayList<>();
        for (int submission = 1; submission < concurrentSubmissions; submission++) {
            int host = first + submission;
            otherSubmissions.add(executor.submit(() -> submitUntilFinal(host, job)));
        }
        JobOutcome outcome = submitUntilFinal(first, job);
        for (Future<JobOutcome> other : otherSubmissions) {
            other.get(RETRY_TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS);
        }
        unansweredJobs.remove(job);
        return recordOutcome(outcome);
    }

    private JobOutcome recordOutcome(JobOutcome outcome) {
        jobsByOutcome
                .computeIfAbsent(outcomeName(outcome), key -> new AtomicInteger())
                .incrementAndGet();
        return outcome;
    }

    private static String outcomeName(JobOutcome outcome) {
        return outcome.errorKind() == null ? "complete" : outcome.errorKind().name();
    }

    /** Requests cancellation of all jobs without a final response, round robin over the hosts. */
    public void cancelAll() throws InterruptedException {
        int host = 0;
        for (Job job : List.copyOf(unansweredJobs)) {
            try {
                http.send("DELETE", port(host), job.path(), null, job.contract().token(), SHORT_REQUEST_TIMEOUT_MILLIS);
            } catch (IOException e) {
                // If the cancellation is lost, the job continues.
            }
            host++;
        }
    }

    private String reserveJobId(Contract contract, int first) throws InterruptedException {
        for (int i = 0; i < cluster.hosts() * 3; i++) {
            try {
                JsonHttpClient.Response answer = http.send(
                        "POST",
                        port(first + i),
                        "/v1/teams/" + contract.team() + "/job-ids",
                        Map.of("count", 1),
                        contract.token(),
                        SHORT_REQUEST_TIMEOUT_MILLIS);
                if (answer.status() == 201) {
                    return answer.body().path("jobIds").path(0).asText();
                }
            } catch (IOException e) {
                // Retrying through the next host is safe because reserving an id starts no job.
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        return null;
    }

    private Map<String, Object> body(Contract contract, String jobId, int tasks, long runMillis, boolean idempotent) {
        String nonce = "n" + requestCounter.incrementAndGet();
        List<Map<String, Object>> specs = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            String task = "t" + i;
            String echo = nonce + "-" + task;
            resultByTask.put(jobId + "/" + task, echo);
            specs.add(Map.of(
                    "id", task,
                    "payload", "{\"runMillis\": " + runMillis + ", \"echo\": \"" + echo + "\"}",
                    "declaredMillis", runMillis,
                    "idempotent", idempotent));
        }
        return Map.of("batch", contract.batch(), "tasks", specs);
    }

    private JobOutcome submitUntilFinal(int first, Job job) throws InterruptedException {
        long endNanos = System.nanoTime() + RETRY_TIMEOUT_MILLIS * 1_000_000;
        JobOutcome outcome = null;
        for (int i = 0; outcome == null; i++) {
            outcome = submitOnce(first + i, job);
            if (outcome == null && System.nanoTime() > endNanos) {
                outcome = new JobOutcome(ErrorKind.OWNER_UNREACHABLE);
            }
            if (outcome == null) {
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        }
        return outcome;
    }

    /** Returns the outcome of the job, or null if the caller has to resubmit. */
    private JobOutcome submitOnce(int host, Job job) throws InterruptedException {
        String request = "r" + requestCounter.incrementAndGet();
        recorder.add(new Event.Submitted(now(), request, job.id(), taskIds(job.body()), nonIdempotent(job.body())));
        try {
            JsonHttpClient.Response answer = http.send(
                    "PUT", port(host), job.path(), job.body(), job.contract().token(), REQUEST_TIMEOUT_MILLIS);
            return onAnswer(request, answer.body());
        } catch (ConnectException e) {
            // No connection, so nothing was sent: equivalent to a NOT_RUN response.
            recorder.add(new Event.Answered(now(), request, null, null, Execution.NOT_RUN, Map.of()));
            return null;
        } catch (IOException e) {
            recorder.add(new Event.ConnectionLost(now(), request, Layout.hostId(host % cluster.hosts())));
            return null;
        }
    }

    private JobOutcome onAnswer(String request, JsonNode answer) {
        JobState state = answer.has("state")
                ? JobState.valueOf(answer.path("state").asText().toUpperCase(java.util.Locale.ROOT))
                : null;
        ErrorKind kind = answer.path("error").has("kind")
                ? ErrorKind.valueOf(answer.path("error").path("kind").asText())
                : null;
        if (kind != null) {
            firstErrorMessages.putIfAbsent(
                    kind.name(), answer.path("error").path("message").asText());
        }
        Execution execution = kind == null ? null : kind.execution();
        Map<String, String> results = new HashMap<>();
        answer.path("tasks")
                .forEach(task -> results.put(
                        task.path("id").asText(), task.path("result").asText()));
        String jobId = answer.has("jobId") ? answer.path("jobId").asText() : null;
        recorder.add(new Event.Answered(now(), request, jobId, state, execution, results));
        return isRetryable(kind) ? null : new JobOutcome(kind);
    }

    /** NOT_CONFIGURED is retryable because a host that has just started briefly has no configuration. */
    private static boolean isRetryable(ErrorKind kind) {
        return kind == ErrorKind.OWNER_UNREACHABLE || kind == ErrorKind.NOT_CONFIGURED;
    }

    /** Waits until every caller has the outcome of its job. */
    public void awaitAll() throws InterruptedException, ExecutionException, TimeoutException {
        for (Future<JobOutcome> future : pendingCalls) {
            future.get(RETRY_TIMEOUT_MILLIS * 3, TimeUnit.MILLISECONDS);
        }
        pendingCalls.clear();
    }

    /** Returns the number of jobs by outcome: {@code complete} or the name of the error kind. */
    public Map<String, AtomicInteger> jobsByOutcome() {
        return Map.copyOf(jobsByOutcome);
    }

    /** Returns the first error message received for each error kind. */
    public Map<String, String> firstErrorMessages() {
        return Map.copyOf(firstErrorMessages);
    }

    /** Returns the number of jobs for which an id was reserved. */
    public int reservedJobs() {
        return reservedJobCount.get();
    }

    /** Returns the expected result of each task by {@code jobId/taskId}. */
    public Map<String, String> resultByTask() {
        return resultByTask;
    }

    @SuppressWarnings("unchecked")
    private static List<String> taskIds(Map<String, Object> body) {
        return ((List<Map<String, Object>>) body.get("tasks"))
                .stream().map(task -> (String) task.get("id")).toList();
    }

    @SuppressWarnings("unchecked")
    private static List<String> nonIdempotent(Map<String, Object> body) {
        return ((List<Map<String, Object>>) body.get("tasks"))
                .stream()
                        .filter(task -> !(Boolean) task.get("idempotent"))
                        .map(task -> (String) task.get("id"))
                        .toList();
    }

    private int port(int host) {
        return cluster.callersPort(host % cluster.hosts());
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
