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
 * Open-loop callers: each job is sent at its planned arrival, whatever happened to earlier jobs, and its response time
 * counts from the planned arrival. A job is sent again only when it is known not to have run, or under its reserved
 * id.
 */
public final class LoadGenerator {
    /** Time after the promise at which a job without response is given up. */
    private static final long GRACE_MILLIS = 10_000;

    /** Longest promise (30 s) and grace. */
    private static final long ANSWER_LIMIT_MILLIS = 40_000;

    private static final long RETRY_MILLIS = 100;
    private static final int CONNECTIONS_PER_HOST = 8_000;
    private static final int CONNECT_LIMIT_MILLIS = 1_000;

    private final Vertx vertx;
    private final LoadBalancer balancer;
    private final Map<String, String> tokens;
    private final long oneWayMicros;
    private final JobIdPool ids;
    private final HttpClient client;
    private final Queue<JobOutcome> outcomes = new ConcurrentLinkedQueue<>();
    private final Map<Submission, Boolean> inProgress = new ConcurrentHashMap<>();
    private CountDownLatch pending;
    private long startNanos;

    /** A job on its way; compared by identity. */
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
     * @param vertx runs the exchanges
     * @param balancer chooses the entry host of each request
     * @param tokens access token by team
     * @param reservedIds whether callers reserve job ids first
     * @param oneWayMicros network delay of each request and each response, in microseconds
     */
    public LoadGenerator(
            Vertx vertx, LoadBalancer balancer, Map<String, String> tokens, boolean reservedIds, long oneWayMicros) {
        this.vertx = vertx;
        this.balancer = balancer;
        this.tokens = Map.copyOf(tokens);
        this.oneWayMicros = oneWayMicros;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_LIMIT_MILLIS),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_HOST));
        ids = reservedIds ? new JobIdPool(this::reserve) : null;
    }

    /**
     * Sends the jobs and waits until each has ended.
     *
     * @param jobs the jobs in the order of arrival
     * @param start {@link System#nanoTime()} from which arrivals count
     * @return one outcome for each job
     */
    public List<JobOutcome> run(List<PlannedJob> jobs, long start) throws InterruptedException {
        startNanos = start;
        pending = new CountDownLatch(jobs.size());
        for (PlannedJob job : jobs) {
            Submission submission = new Submission(job, Buffer.buffer(JobBodies.request(job)));
            sleepUntil(startNanos + job.arrivalNanos());
            submit(submission);
        }
        pending.await();
        return new ArrayList<>(outcomes);
    }

    /** Reserves ids for each team, so that the first jobs do not wait for them. */
    public void prepare() {
        if (ids != null) {
            tokens.keySet().forEach(ids::fill);
        }
    }

    /** Cancels every second job in progress. Only with reserved ids. */
    public void cancelHalf() {
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
        boolean named = submission.jobId != null;
        HttpMethod method = named ? HttpMethod.PUT : HttpMethod.POST;
        exchange(
                        method,
                        named ? path + "/" + submission.jobId : path,
                        submission.job.load().name(),
                        submission.body)
                .onSuccess(answer -> onAnswer(submission, answer))
                .onFailure(e -> onBroken(submission, e));
    }

    private void onAnswer(Submission submission, JsonNode answer) {
        if ("complete".equals(answer.path("state").asText())) {
            end(submission, State.COMPLETE, null, !JobBodies.isWhole(submission.job, answer));
            return;
        }
        ErrorKind kind = kindOf(answer);
        if (isWorthRetry(kind, submission) && beforeDeadline(submission)) {
            later(submission);
        } else {
            boolean refused = kind.execution() == Execution.NOT_RUN;
            end(submission, refused ? State.REFUSED : State.FAILED, kind, false);
        }
    }

    private static ErrorKind kindOf(JsonNode answer) {
        try {
            return ErrorKind.valueOf(answer.path("error").path("kind").asText());
        } catch (IllegalArgumentException e) {
            return ErrorKind.INTERNAL;
        }
    }

    /** A host that stops or has no configuration has not run the job; an owner that is out of reach may return. */
    private static boolean isWorthRetry(ErrorKind kind, Submission submission) {
        return kind == ErrorKind.DRAINING
                || kind == ErrorKind.NOT_CONFIGURED
                || (kind == ErrorKind.OWNER_UNREACHABLE && submission.jobId != null);
    }

    private void onBroken(Submission submission, Throwable cause) {
        boolean safe = submission.jobId != null || cause instanceof NotSentException;
        if (safe && beforeDeadline(submission)) {
            later(submission);
        } else {
            end(submission, State.LOST, null, false);
        }
    }

    private boolean beforeDeadline(Submission submission) {
        long limitMillis = submission.job.load().promiseMillis() + GRACE_MILLIS;
        return elapsedNanos(submission) < TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    private void later(Submission submission) {
        vertx.setTimer(RETRY_MILLIS, timer -> send(submission));
    }

    private void end(Submission submission, State state, ErrorKind kind, boolean partial) {
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
                .compose(LoadGenerator::readIds)
                .recover(
                        e -> vertx.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS).compose(later -> Future.failedFuture(e)));
    }

    private static Future<List<String>> readIds(JsonNode answer) {
        List<String> jobIds = new ArrayList<>();
        answer.path("jobIds").forEach(id -> jobIds.add(id.asText()));
        return jobIds.isEmpty() ? Future.failedFuture("no job ids in " + answer) : Future.succeededFuture(jobIds);
    }

    private Future<JsonNode> exchange(HttpMethod method, String path, String team, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(balancer.nextPort())
                .setMethod(method)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + tokens.get(team))
                .putHeader("Content-Type", "application/json");
        Future<JsonNode> answer = oneWay().compose(sent -> client.request(options))
                .recover(e -> Future.failedFuture(new NotSentException(e)))
                .compose(request -> body == null ? request.send() : request.send(body))
                .compose(HttpClientResponse::body)
                .compose(LoadGenerator::parse)
                .compose(parsed -> oneWay().map(parsed));
        return answer.timeout(ANSWER_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Future<Void> oneWay() {
        return oneWayMicros == 0
                ? Future.succeededFuture()
                : vertx.timer(oneWayMicros, TimeUnit.MICROSECONDS).mapEmpty();
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

    /** No connection could be opened, so nothing was sent. */
    private static final class NotSentException extends Exception {
        private static final long serialVersionUID = 1L;

        NotSentException(Throwable cause) {
            super(cause);
        }
    }
}
