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
 * Callers that submit jobs at the same time and behave as docs/callers.md says: after a lost answer or an unreachable owner the
 * same id and body go to the next entry host, until the job has ended.
 */
public final class Callers implements AutoCloseable {
    private static final long REQUEST_LIMIT_MILLIS = 30_000;
    private static final long RESERVE_LIMIT_MILLIS = 2_000;
    private static final long RETRY_PAUSE_MILLIS = 100;
    private static final long GIVE_UP_MILLIS = 45_000;

    /** How a job ended for its caller; the kind is null if it is complete. */
    private record End(ErrorKind kind) {}

    private record Job(Contract contract, String id, Map<String, Object> body) {
        String path() {
            return "/v1/teams/" + contract.team() + "/jobs/" + id;
        }
    }

    private final TestCluster cluster;
    private final HistoryRecorder recorder;
    private final JsonHttpClient http = new JsonHttpClient();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Future<End>> running = new CopyOnWriteArrayList<>();
    private final AtomicLong requests = new AtomicLong();
    private final Map<String, String> resultByTask = new ConcurrentHashMap<>();
    private final Set<Job> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger reserved = new AtomicInteger();
    private final Map<String, String> messages = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();

    /** Creates callers of a cluster. */
    public Callers(TestCluster cluster, HistoryRecorder recorder) {
        this.cluster = cluster;
        this.recorder = recorder;
    }

    /**
     * Submits jobs at once.
     *
     * @param host first host of each job; -1 takes the hosts in turn
     * @param copies number of concurrent submissions of each job, each through another host
     */
    public void submit(int jobs, int tasks, long runMillis, boolean idempotent, int host, int copies) {
        submit(Contract.MAIN, jobs, tasks, runMillis, idempotent, host, copies);
    }

    /** Submits jobs of a contract at once, as {@link #submit(int, int, long, boolean, int, int)}. */
    public void submit(
            Contract contract, int jobs, int tasks, long runMillis, boolean idempotent, int host, int copies) {
        for (int i = 0; i < jobs; i++) {
            int first = host < 0 ? i % cluster.hosts() : host;
            running.add(threads.submit(() -> callUntilEnd(contract, first, tasks, runMillis, idempotent, copies)));
        }
    }

    /** Submits one job, waits for its end and returns {@code complete} or the name of the error kind. */
    public String call(Contract contract, int tasks, long runMillis, boolean idempotent, int host, int copies)
            throws Exception {
        return name(callUntilEnd(contract, host, tasks, runMillis, idempotent, copies));
    }

    private End callUntilEnd(Contract contract, int first, int tasks, long runMillis, boolean idempotent, int copies)
            throws Exception {
        String jobId = reserve(contract, first);
        if (jobId == null) {
            return count(new End(ErrorKind.NOT_CONFIGURED));
        }
        reserved.incrementAndGet();
        Job job = new Job(contract, jobId, body(contract, jobId, tasks, runMillis, idempotent));
        open.add(job);
        List<Future<End>> others = new ArrayList<>();
        for (int copy = 1; copy < copies; copy++) {
            int host = first + copy;
            others.add(threads.submit(() -> submitUntilEnd(host, job)));
        }
        End end = submitUntilEnd(first, job);
        for (Future<End> other : others) {
            other.get(GIVE_UP_MILLIS * 2, TimeUnit.MILLISECONDS);
        }
        open.remove(job);
        return count(end);
    }

    private End count(End end) {
        ends.computeIfAbsent(name(end), key -> new AtomicInteger()).incrementAndGet();
        return end;
    }

    private static String name(End end) {
        return end.kind() == null ? "complete" : end.kind().name();
    }

    /** Asks for the cancellation of all jobs that have no answer yet, each through the host after the one before. */
    public void cancelAll() throws InterruptedException {
        int host = 0;
        for (Job job : List.copyOf(open)) {
            try {
                http.send("DELETE", port(host), job.path(), null, job.contract().token(), RESERVE_LIMIT_MILLIS);
            } catch (IOException e) {
                // A cancellation that gets lost leaves the job running.
            }
            host++;
        }
    }

    private String reserve(Contract contract, int first) throws InterruptedException {
        for (int i = 0; i < cluster.hosts() * 3; i++) {
            try {
                JsonHttpClient.Response answer = http.send(
                        "POST",
                        port(first + i),
                        "/v1/teams/" + contract.team() + "/job-ids",
                        Map.of("count", 1),
                        contract.token(),
                        RESERVE_LIMIT_MILLIS);
                if (answer.status() == 201) {
                    return answer.body().path("jobIds").path(0).asText();
                }
            } catch (IOException e) {
                // The next host may answer; reserving starts nothing.
            }
            Thread.sleep(RETRY_PAUSE_MILLIS);
        }
        return null;
    }

    private Map<String, Object> body(Contract contract, String jobId, int tasks, long runMillis, boolean idempotent) {
        String nonce = "n" + requests.incrementAndGet();
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

    private End submitUntilEnd(int first, Job job) throws InterruptedException {
        long endNanos = System.nanoTime() + GIVE_UP_MILLIS * 1_000_000;
        End end = null;
        for (int i = 0; end == null; i++) {
            end = submitOnce(first + i, job);
            if (end == null && System.nanoTime() > endNanos) {
                end = new End(ErrorKind.OWNER_UNREACHABLE);
            }
            if (end == null) {
                Thread.sleep(RETRY_PAUSE_MILLIS);
            }
        }
        return end;
    }

    /** Returns how the job ended, or null if the caller has to ask again. */
    private End submitOnce(int host, Job job) throws InterruptedException {
        String request = "r" + requests.incrementAndGet();
        recorder.add(new Event.Submitted(now(), request, job.id(), taskIds(job.body()), nonIdempotent(job.body())));
        try {
            JsonHttpClient.Response answer = http.send(
                    "PUT", port(host), job.path(), job.body(), job.contract().token(), REQUEST_LIMIT_MILLIS);
            return onAnswer(request, answer.body());
        } catch (ConnectException e) {
            // Nothing was sent, which is as good as a refusal.
            recorder.add(new Event.Answered(now(), request, null, null, Execution.NOT_RUN, Map.of()));
            return null;
        } catch (IOException e) {
            recorder.add(new Event.ConnectionLost(now(), request, Layout.hostId(host % cluster.hosts())));
            return null;
        }
    }

    private End onAnswer(String request, JsonNode answer) {
        JobState state = answer.has("state")
                ? JobState.valueOf(answer.path("state").asText().toUpperCase(java.util.Locale.ROOT))
                : null;
        ErrorKind kind = answer.path("error").has("kind")
                ? ErrorKind.valueOf(answer.path("error").path("kind").asText())
                : null;
        if (kind != null) {
            messages.putIfAbsent(
                    kind.name(), answer.path("error").path("message").asText());
        }
        Execution execution = kind == null ? null : kind.execution();
        Map<String, String> results = new HashMap<>();
        answer.path("tasks")
                .forEach(task -> results.put(
                        task.path("id").asText(), task.path("result").asText()));
        String jobId = answer.has("jobId") ? answer.path("jobId").asText() : null;
        recorder.add(new Event.Answered(now(), request, jobId, state, execution, results));
        return asksAgain(kind) ? null : new End(kind);
    }

    /** A host that has just started has no configuration for a moment, which says nothing of the job. */
    private static boolean asksAgain(ErrorKind kind) {
        return kind == ErrorKind.OWNER_UNREACHABLE || kind == ErrorKind.NOT_CONFIGURED;
    }

    /** Waits until every caller has its final answer. */
    public void awaitAll() throws InterruptedException, ExecutionException, TimeoutException {
        for (Future<End> future : running) {
            future.get(GIVE_UP_MILLIS * 3, TimeUnit.MILLISECONDS);
        }
        running.clear();
    }

    /** Returns the number of jobs by how they ended: {@code complete} or the name of the error kind. */
    public Map<String, AtomicInteger> ends() {
        return Map.copyOf(ends);
    }

    /** Returns the first message of each error kind. */
    public Map<String, String> messages() {
        return Map.copyOf(messages);
    }

    /** Returns the number of jobs for which an id was reserved. */
    public int reservedJobs() {
        return reserved.get();
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
        threads.shutdownNow();
    }
}
