package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.bench.internal.JobOutcome.State;

/**
 * Open-loop load generator: sends each job at its planned arrival regardless of the progress of earlier jobs, and
 * measures its response time from the planned arrival. A job is retried only if it is known not to have run or has a
 * reserved id.
 */
public final class LoadGenerator {
    /** Time after the promise until which a job is retried. */
    private static final long GRACE_PERIOD_MILLIS = 10_000;

    /** Longest promise (30 s) plus the grace period. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 40_000;

    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int CONNECTIONS_PER_HOST = 8_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final LoadBalancer balancer;
    private final Map<String, String> tokens;
    private final long networkDelayMicros;
    private final JobIdPool ids;
    private final HttpClient client;
    private final Queue<JobOutcome> outcomes = new ConcurrentLinkedQueue<>();
    private final Map<Submission, Boolean> inProgress = new ConcurrentHashMap<>();
    private CountDownLatch pending;
    private long startNanos;

    /** A job in progress; compared by identity. */
    private static final class Submission {
        private final PlannedJob job;
        private final Buffer body;
        private String jobId;

        Submission(PlannedJob job, Buffer body) {
            this.job = job;
            this.body = body;
        }
    }

    /**
     * @param vertx runs the HTTP exchanges
     * @param balancer selects the entry host of each request
     * @param tokens access tokens by client account
     * @param reservedIds whether to reserve job ids before submission
     * @param networkDelayMicros simulated one-way network delay in microseconds
     */
    public LoadGenerator(
            Vertx vertx,
            LoadBalancer balancer,
            Map<String, String> tokens,
            boolean reservedIds,
            long networkDelayMicros) {
        this.vertx = vertx;
        this.balancer = balancer;
        this.tokens = Map.copyOf(tokens);
        this.networkDelayMicros = networkDelayMicros;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_HOST));
        ids = reservedIds ? new JobIdPool(this::reserve) : null;
    }

    /**
     * Submits the jobs and waits for all outcomes.
     *
     * @param jobs jobs in order of arrival
     * @param start {@link System#nanoTime()} value that is time 0 of the arrivals
     * @return the outcomes of all jobs submitted so far, including earlier calls
     */
    public List<JobOutcome> run(List<PlannedJob> jobs, long start) throws InterruptedException {
        startNanos = start;
        pending = new CountDownLatch(jobs.size());
        for (PlannedJob job : jobs) {
            Submission submission = new Submission(job, Buffer.buffer(JobMessages.encodeRequest(job)));
            sleepUntil(startNanos + job.arrivalNanos());
            submit(submission);
        }
        pending.await();
        return new ArrayList<>(outcomes);
    }

    /** Reserves ids for each client account, so that the first jobs do not wait for a reservation. */
    public void reserveInitialIds() {
        if (ids != null) {
            tokens.keySet().forEach(ids::refill);
        }
    }

    /** Cancels every second job in progress; requires reserved ids. */
    public void cancelEverySecondJob() {
        boolean cancel = false;
        for (Submission submission : inProgress.keySet()) {
            if (cancel && submission.jobId != null) {
                String path = jobsPath(submission.job) + "/" + submission.jobId;
                exchange(HttpMethod.DELETE, path, submission.job.load().name(), null)
                        .onFailure(e -> {});
            }
            cancel = !cancel;
        }
    }

    private static void sleepUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanos - System.nanoTime();
        }
    }

    private void submit(Submission submission) {
        inProgress.put(submission, true);
        if (ids == null) {
            send(submission);
            return;
        }
        ids.take(submission.job.load().name()).onSuccess(id -> {
            submission.jobId = id;
            send(submission);
        });
    }

    private void send(Submission submission) {
        String path = jobsPath(submission.job);
        boolean hasJobId = submission.jobId != null;
        HttpMethod method = hasJobId ? HttpMethod.PUT : HttpMethod.POST;
        exchange(
                        method,
                        hasJobId ? path + "/" + submission.jobId : path,
                        submission.job.load().name(),
                        submission.body)
                .onSuccess(response -> onResponse(submission, response))
                .onFailure(e -> onExchangeFailed(submission, e));
    }

    private void onResponse(Submission submission, JsonNode response) {
        if ("complete".equals(response.path("state").asText())) {
            complete(submission, State.COMPLETE, null, !JobMessages.hasAllResults(submission.job, response));
            return;
        }
        ErrorKind kind = errorKind(response);
        if (isRetryable(kind, submission) && isBeforeDeadline(submission)) {
            scheduleRetry(submission);
        } else {
            boolean refused = kind.execution() == Execution.NOT_RUN;
            complete(submission, refused ? State.REFUSED : State.FAILED, kind, false);
        }
    }

    private static ErrorKind errorKind(JsonNode response) {
        try {
            return ErrorKind.valueOf(response.path("error").path("kind").asText());
        } catch (IllegalArgumentException e) {
            return ErrorKind.INTERNAL;
        }
    }

    /** Draining and unconfigured hosts have not run the job; an unreachable owner may become reachable again. */
    private static boolean isRetryable(ErrorKind kind, Submission submission) {
        return kind == ErrorKind.DRAINING
                || kind == ErrorKind.NOT_CONFIGURED
                || (kind == ErrorKind.OWNER_UNREACHABLE && submission.jobId != null);
    }

    private void onExchangeFailed(Submission submission, Throwable cause) {
        boolean safeToRetry = submission.jobId != null || cause instanceof NotSentException;
        if (safeToRetry && isBeforeDeadline(submission)) {
            scheduleRetry(submission);
        } else {
            complete(submission, State.LOST, null, false);
        }
    }

    private boolean isBeforeDeadline(Submission submission) {
        long timeoutMillis = submission.job.load().promiseMillis() + GRACE_PERIOD_MILLIS;
        return elapsedNanos(submission) < TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    private void scheduleRetry(Submission submission) {
        vertx.setTimer(RETRY_DELAY_MILLIS, timer -> send(submission));
    }

    private void complete(Submission submission, State state, ErrorKind kind, boolean partial) {
        inProgress.remove(submission);
        outcomes.add(new JobOutcome(submission.job, state, kind, elapsedNanos(submission), partial));
        pending.countDown();
    }

    private long elapsedNanos(Submission submission) {
        return System.nanoTime() - startNanos - submission.job.arrivalNanos();
    }

    private Future<List<String>> reserve(String team, int count) {
        Buffer body = Buffer.buffer("{\"count\":" + count + "}");
        return exchange(HttpMethod.POST, "/v1/teams/" + team + "/job-ids", team, body)
                .compose(LoadGenerator::parseJobIds)
                .recover(e -> vertx.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                        .compose(elapsed -> Future.failedFuture(e)));
    }

    private static Future<List<String>> parseJobIds(JsonNode response) {
        List<String> jobIds = new ArrayList<>();
        response.path("jobIds").forEach(id -> jobIds.add(id.asText()));
        return jobIds.isEmpty() ? Future.failedFuture("no job ids in " + response) : Future.succeededFuture(jobIds);
    }

    private Future<JsonNode> exchange(HttpMethod method, String path, String team, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(balancer.nextPort())
                .setMethod(method)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + tokens.get(team))
                .putHeader("Content-Type", "application/json");
        Future<JsonNode> response = networkDelay()
                .compose(sent -> client.request(options))
                .recover(e -> Future.failedFuture(new NotSentException(e)))
                .compose(request -> body == null ? request.send() : request.send(body))
                .compose(HttpClientResponse::body)
                .compose(LoadGenerator::parse)
                .compose(parsed -> networkDelay().map(parsed));
        return response.timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Future<Void> networkDelay() {
        return networkDelayMicros == 0
                ? Future.succeededFuture()
                : vertx.timer(networkDelayMicros, TimeUnit.MICROSECONDS).mapEmpty();
    }

    private static Future<JsonNode> parse(Buffer body) {
        try {
            return Future.succeededFuture(Json.mapper().readTree(body.getBytes()));
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
    }

    private static String jobsPath(PlannedJob job) {
        return "/v1/teams/" + job.load().name() + "/jobs";
    }

    /** Indicates that no connection could be opened, so the request was not sent. */
    private static final class NotSentException extends Exception {
        private static final long serialVersionUID = 1L;

        NotSentException(Throwable cause) {
            super(cause);
        }
    }
}
