package org.banyanspoke.host.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.RunLedger;

/**
 * Callers that send jobs to any host, keep their connections, send a job whose end they do not know again under its id, and check
 * what they are told.
 */
final class SoakCallers {
    private static final long DEADLINE_MILLIS = 3_000;
    /** A caller that has had no answer for this long gives up. The answer is due at the deadline. */
    private static final long PATIENCE_MILLIS = DEADLINE_MILLIS + 2_000;

    private static final long RESEND_MILLIS = 1_300;
    private static final int MAX_SENDS = 3;
    private static final int MAX_TASKS = 6;
    private static final long[] RUN_MILLIS = {60, 60, 200, 900};
    private static final int CONNECTIONS = 200;

    private final Vertx vertx;
    private final RunLedger ledger;
    private final List<SoakSite.Host> hosts;
    private final Excuse excuse;
    private final Random random;
    private final HttpClient client;
    private final Map<String, Integer> results = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Job> refused = new ArrayList<>();
    private final int series;
    private int sent;
    private int open;

    /** Says whether something outside the host kept it from answering. */
    interface Excuse {
        boolean holds(int host, long sinceNanos);
    }

    private record Job(String id, int tasks, long runMillis, long firstNanos) {}

    SoakCallers(Vertx vertx, RunLedger ledger, List<SoakSite.Host> hosts, Excuse excuse, long seed) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.hosts = hosts;
        this.excuse = excuse;
        this.random = new Random(seed);
        this.series = random.nextInt() & Integer.MAX_VALUE;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000), new PoolOptions().setHttp1MaxSize(CONNECTIONS));
    }

    /** Sends one new job of any usual run time. */
    void send() {
        send(RUN_MILLIS[random.nextInt(RUN_MILLIS.length)]);
    }

    /** Sends one new job. */
    synchronized void send(long runMillis) {
        sent++;
        int tasks = 1 + random.nextInt(MAX_TASKS);
        open++;
        send(new Job("%08x%08x".formatted(series, sent), tasks, runMillis, System.nanoTime()), 1);
    }

    private void send(Job job, int attempt) {
        int host = random.nextInt(hosts.size());
        long sentNanos = System.nanoTime();
        long remainingMillis = DEADLINE_MILLIS - elapsedMillis(job.firstNanos());
        String body = HostUnderTest.jobBody(job.tasks(), SoakSite.TASK_MILLICORES, job.runMillis());
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost("127.0.0.1")
                .setPort(hosts.get(host).callers().port())
                .setURI("/q/" + job.id())
                .addHeader("X-Banyanspoke-Deadline-Ms", Long.toString(remainingMillis))
                .setIdleTimeout(PATIENCE_MILLIS);
        client.request(options)
                .compose(request -> request.send(body))
                .compose(response -> response.body().map(unused -> response))
                .onSuccess(response -> onAnswer(job, attempt, response))
                .onFailure(failure -> onNoAnswer(job, attempt, host, sentNanos, failure));
    }

    private static long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private synchronized void onAnswer(Job job, int attempt, HttpClientResponse response) {
        int status = response.statusCode();
        if (status == 502 || status == 504) {
            again(job, attempt, "answer " + status);
            return;
        }
        if (status == 200 && ledger.done(job.id()) < job.tasks() && !ledger.failed(job.id())) {
            violations.add(job.id() + " was said to have ended, with " + ledger.done(job.id()) + " of " + job.tasks()
                    + " tasks done");
        }
        if ((status == 429 || status == 503) && attempt == 1) {
            refused.add(job);
        }
        end("answer " + status);
    }

    private synchronized void onNoAnswer(Job job, int attempt, int host, long sentNanos, Throwable failure) {
        if (elapsedMillis(sentNanos) >= DEADLINE_MILLIS + 1_000 && !excuse.holds(host, sentNanos)) {
            violations.add("%s, attempt %d: no answer from %s for %d ms (%s)"
                    .formatted(
                            job.id(),
                            attempt,
                            hosts.get(host).process().name(),
                            elapsedMillis(sentNanos),
                            failure.getMessage()));
        }
        again(job, attempt, "no answer");
    }

    private void again(Job job, int attempt, String result) {
        if (attempt == MAX_SENDS || elapsedMillis(job.firstNanos()) + RESEND_MILLIS >= DEADLINE_MILLIS) {
            end(result);
            return;
        }
        results.merge("sent again", 1, Integer::sum);
        vertx.setTimer(RESEND_MILLIS, unused -> {
            synchronized (this) {
                send(job, attempt + 1);
            }
        });
    }

    private void end(String result) {
        open--;
        results.merge(result, 1, Integer::sum);
    }

    /** Returns how many jobs have neither ended nor been given up. */
    synchronized int open() {
        return open;
    }

    /** Returns how many jobs ended in which way, and how many were sent again. */
    synchronized Map<String, Integer> results() {
        return new TreeMap<>(results);
    }

    /** Returns what callers were told wrongly or not at all. */
    synchronized List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        refused.stream()
                .filter(job -> ledger.begun(job.id()) > 0)
                .forEach(job -> all.add(job.id() + " was refused and has run"));
        return all;
    }
}
