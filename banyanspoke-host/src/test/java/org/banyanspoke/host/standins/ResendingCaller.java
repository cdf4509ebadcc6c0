package org.banyanspoke.host.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Caller that sends a job again under the same id, to another host, 1.3 s after an answer that leaves its outcome open
 * or after its own timeout.
 */
public final class ResendingCaller {
    private static final long RESEND_MILLIS = 1_300;
    private static final int MAX_ATTEMPTS = 3;
    /** Longer than all attempts of a job take. */
    private static final long MAX_JOIN_MILLIS = 60_000;

    private final Map<String, Integer> lastStatuses = new ConcurrentHashMap<>();
    private final Map<String, Thread> threads = new ConcurrentHashMap<>();

    /**
     * A job.
     *
     * @param tasks number of tasks
     * @param cpuMillicores processor demand of each task
     * @param runMillis run time of each task
     * @param deadlineMillis how long the caller waits for the answer to each attempt
     */
    public record Job(String id, int tasks, int cpuMillicores, long runMillis, long deadlineMillis) {}

    /** Sends a job to a host, and further attempts to another one. */
    public void send(Job job, HostUnderTest first, HostUnderTest next) {
        Thread thread = new Thread(() -> attempt(job, first, next), "caller-" + job.id());
        threads.put(job.id(), thread);
        thread.start();
    }

    private void attempt(Job job, HostUnderTest first, HostUnderTest next) {
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            int status = status(job, attempt == 1 ? first : next);
            lastStatuses.put(job.id(), status);
            if (status != 0 && status != 502 && status != 504) {
                return;
            }
            try {
                Thread.sleep(RESEND_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the HTTP status of one attempt; 0 if there was no answer. */
    private static int status(Job job, HostUnderTest host) {
        try {
            return host.submit(
                            job.id(),
                            job.tasks(),
                            job.cpuMillicores(),
                            job.runMillis(),
                            job.deadlineMillis(),
                            job.deadlineMillis())
                    .get(job.deadlineMillis() + 5_000, TimeUnit.MILLISECONDS)
                    .statusCode();
        } catch (Exception e) {
            return 0;
        }
    }

    /** Waits until no attempt is open, and returns the last status of each job. */
    public Map<String, Integer> join() throws InterruptedException {
        for (Thread thread : threads.values()) {
            thread.join(MAX_JOIN_MILLIS);
        }
        return Map.copyOf(lastStatuses);
    }
}
