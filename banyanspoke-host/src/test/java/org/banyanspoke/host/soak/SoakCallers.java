package org.banyanspoke.host.soak;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.RunLedger;

/**
 * Simulates callers that send jobs to random hosts over persistent connections, retry jobs with unknown outcome under
 * the same id, and verify the answers.
 */
final class SoakCallers {
    private static final long DEADLINE_MILLIS = 3_000;
    /** Response timeout; the answer is due at the deadline. */
    private static final long RESPONSE_TIMEOUT_MILLIS = DEADLINE_MILLIS + 2_000;

    private static final long RETRY_DELAY_MILLIS = 1_300;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_TASKS = 6;
    private static final long[] RUN_MILLIS = {60, 60, 200, 900};

    private final Vertx vertx;
    private final RunLedger ledger;
    private final List<SoakSite.Host> hosts;
    private final FaultCheck faultCheck;
    private final Random random;
    /**
     * Not the client of Vert.x, which now and then keeps a request on a connection that was closed right after it was
     * accepted, until the response timeout.
     */
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Map<String, Integer> results = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Job> refused = new ArrayList<>();
    private final int idPrefix;
    private int sent;
    private int open;

    /** Decides whether an injected fault explains a missing answer. */
    interface FaultCheck {
        boolean explains(int host, long sinceNanos);
    }

    private record Job(String id, int tasks, long runMillis, long firstNanos) {}

    SoakCallers(Vertx vertx, RunLedger ledger, List<SoakSite.Host> hosts, FaultCheck faultCheck, long seed) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.hosts = hosts;
        this.faultCheck = faultCheck;
        this.random = new Random(seed);
        this.idPrefix = random.nextInt() & Integer.MAX_VALUE;
    }

    /** Sends a new job with a random run time. */
    void send() {
        send(RUN_MILLIS[random.nextInt(RUN_MILLIS.length)]);
    }

    /** Sends a new job. */
    synchronized void send(long runMillis) {
        sent++;
        int tasks = 1 + random.nextInt(MAX_TASKS);
        open++;
        send(new Job("%08x%08x".formatted(idPrefix, sent), tasks, runMillis, System.nanoTime()), 1);
    }

    private void send(Job job, int attempt) {
        int host = random.nextInt(hosts.size());
        long sentNanos = System.nanoTime();
        long remainingMillis = DEADLINE_MILLIS - elapsedMillis(job.firstNanos());
        String body = HostUnderTest.jobBody(job.tasks(), SoakSite.TASK_MILLICORES, job.runMillis());
        String uri = "http://127.0.0.1:" + hosts.get(host).callers().port() + "/q/" + job.id();
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                .header("X-Banyanspoke-Deadline-Ms", Long.toString(remainingMillis))
                .timeout(Duration.ofMillis(RESPONSE_TIMEOUT_MILLIS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        var unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        onAnswer(job, attempt, response.statusCode());
                    } else {
                        onNoAnswer(job, attempt, host, sentNanos, failure);
                    }
                });
    }

    private static long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private synchronized void onAnswer(Job job, int attempt, int status) {
        if (status == 502 || status == 504) {
            retry(job, attempt, "answer " + status);
            return;
        }
        if (status == 200 && ledger.completedTasks(job.id()) < job.tasks() && !ledger.hasFailedTask(job.id())) {
            violations.add(job.id() + " was answered as completed with " + ledger.completedTasks(job.id()) + " of "
                    + job.tasks() + " tasks done");
        }
        if ((status == 429 || status == 503) && attempt == 1) {
            refused.add(job);
        }
        end("answer " + status);
    }

    private synchronized void onNoAnswer(Job job, int attempt, int host, long sentNanos, Throwable failure) {
        if (elapsedMillis(sentNanos) >= DEADLINE_MILLIS + 1_000 && !faultCheck.explains(host, sentNanos)) {
            violations.add("%s, attempt %d: no answer from %s for %d ms (%s)"
                    .formatted(
                            job.id(),
                            attempt,
                            hosts.get(host).process().name(),
                            elapsedMillis(sentNanos),
                            failure.getMessage()));
        }
        retry(job, attempt, "no answer");
    }

    private void retry(Job job, int attempt, String result) {
        if (attempt == MAX_ATTEMPTS || elapsedMillis(job.firstNanos()) + RETRY_DELAY_MILLIS >= DEADLINE_MILLIS) {
            end(result);
            return;
        }
        results.merge("retried", 1, Integer::sum);
        vertx.setTimer(RETRY_DELAY_MILLIS, unused -> {
            synchronized (this) {
                send(job, attempt + 1);
            }
        });
    }

    private void end(String result) {
        open--;
        results.merge(result, 1, Integer::sum);
    }

    /** Returns the number of jobs that have neither ended nor been abandoned. */
    synchronized int open() {
        return open;
    }

    /** Returns the number of jobs per result, and the number of retries. */
    synchronized Map<String, Integer> results() {
        return new TreeMap<>(results);
    }

    /** Returns descriptions of wrong and missing answers. */
    synchronized List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        refused.stream()
                .filter(job -> ledger.startedTasks(job.id()) > 0)
                .forEach(job -> all.add(job.id() + " was refused but has run"));
        return all;
    }
}
