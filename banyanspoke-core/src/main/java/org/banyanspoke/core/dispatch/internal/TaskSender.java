package org.banyanspoke.core.dispatch.internal;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.TaskAttempt;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.SlotAccess;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Sends waiting tasks of running jobs to backend servers with free capacity and tracks the slots that they occupy.
 */
final class TaskSender {
    private final MonotonicClock clock;
    private final RunningJobs jobs;
    private final TaskQueue queue;
    private final ServerPool pool;
    private final TaskTransport transport;
    private final BiConsumer<SentTask, AttemptResult> onResult;

    private final RetryQueue retries = new RetryQueue();
    private long lastAttemptId;
    private int inFlight;
    private QueuedTask candidate;
    private SlotAccess candidateAccess;
    private ServerId candidateServer;

    /** @param onResult receives the first result of each attempt, after its slot has been released */
    TaskSender(
            MonotonicClock clock,
            RunningJobs jobs,
            TaskQueue queue,
            ServerPool pool,
            TaskTransport transport,
            BiConsumer<SentTask, AttemptResult> onResult) {
        this.clock = clock;
        this.jobs = jobs;
        this.queue = queue;
        this.pool = pool;
        this.transport = transport;
        this.onResult = onResult;
    }

    /** Enqueues all tasks of a new job. */
    void enqueue(RunningJob job, int teamWeight) {
        job.usage.onWaiting(job.tasks.size());
        for (int i = 0; i < job.tasks.size(); i++) {
            queue.add(new QueuedTask(
                    job.jobId, i, job.tasks.get(i), job.batch, teamWeight, job.deadlineNanos, job.submittedNanos));
        }
    }

    /** Schedules a retry of a task that a server did not accept, as soon as another server has free capacity. */
    void scheduleRetry(SentTask sent, long excludedUntilNanos) {
        sent.job.usage.onWaiting(1);
        retries.add(new RetryQueue.Retry(sent.job, sent.queued, sent.attempt.server(), excludedUntilNanos));
    }

    /** Removes the waiting tasks of an ended job and asks the servers to stop its running tasks. */
    void cancelTasks(RunningJob job) {
        job.usage.onWithdrawn(queue.removeJob(job.jobId) + retries.removeJob(job));
        for (SentTask sent : List.copyOf(job.sent)) {
            transport.stop(sent.attempt);
        }
    }

    /**
     * Sends every task that can be sent now. Examines every waiting batch, so it is meant for ticks and infrequent
     * events.
     */
    void sendWaiting() {
        long nowNanos = clock.nanos();
        sendRetries(nowNanos);
        boolean sent = true;
        while (sent) {
            sent = sendNext(nowNanos);
        }
    }

    /**
     * Sends waiting tasks after an event that concerns a single batch: a new job, or a result from a server that is
     * eligible for the batch. If no server has free capacity for the batch, the event cannot have made any other task
     * sendable, except an idempotent one on a server on probation, which the next tick sends.
     */
    void sendAfterEvent(BatchConfig batch, TaskSpec task) {
        long nowNanos = clock.nanos();
        sendRetries(nowNanos);
        boolean sent = true;
        while (sent && pool.select(batch, task, SlotAccess.ALL_SLOTS).isPresent()) {
            sent = sendNext(nowNanos);
        }
    }

    private boolean sendNext(long nowNanos) {
        Optional<QueuedTask> next = queue.poll((task, access) -> isSendable(task, access, nowNanos));
        return next.isPresent() && sendPolled(next.get(), nowNanos);
    }

    private void sendRetries(long nowNanos) {
        if (retries.isEmpty()) {
            return;
        }
        Set<BatchId> batchesWithoutCapacity = new HashSet<>();
        retries.removeIf(retry -> sendRetry(retry, batchesWithoutCapacity, nowNanos));
    }

    private boolean sendRetry(RetryQueue.Retry retry, Set<BatchId> batchesWithoutCapacity, long nowNanos) {
        RunningJob job = retry.job();
        if (batchesWithoutCapacity.contains(job.batch.id()) || !job.usage.mayStart(nowNanos)) {
            return false;
        }
        Optional<ServerId> server = pool.select(job.batch, retry.queued().task(), SlotAccess.ALL_SLOTS);
        if (server.isEmpty()) {
            batchesWithoutCapacity.add(job.batch.id());
            return false;
        }
        if (server.get().equals(retry.excludedServer()) && nowNanos - retry.excludedUntilNanos() < 0) {
            return false;
        }
        send(job, retry.queued(), server.get(), nowNanos);
        return true;
    }

    /** Caches the selected server, so that the task that the queue returns needs no second selection. */
    private boolean isSendable(QueuedTask task, SlotAccess access, long nowNanos) {
        RunningJob job = jobs.get(task.job());
        if (!job.usage.mayStart(nowNanos)) {
            return false;
        }
        Optional<ServerId> server = pool.select(job.batch, task.task(), access);
        if (server.isEmpty()) {
            return false;
        }
        candidate = task;
        candidateAccess = access;
        candidateServer = server.get();
        return true;
    }

    /**
     * Sends a task that the queue returned. The queue may have checked only another task of the same batch; if this
     * task is not sendable (a server on probation accepts only idempotent tasks), it is returned to the queue.
     */
    private boolean sendPolled(QueuedTask task, long nowNanos) {
        if (!isCandidate(task) && !isSendable(task, candidateAccess, nowNanos)) {
            queue.add(task);
            return false;
        }
        send(jobs.get(task.job()), task, candidateServer, nowNanos);
        return true;
    }

    private boolean isCandidate(QueuedTask task) {
        return task.index() == candidate.index() && task.job().equals(candidate.job());
    }

    private void send(RunningJob job, QueuedTask task, ServerId server, long nowNanos) {
        job.execution.onTaskSent(task.index());
        job.usage.onSent();
        queue.onSent(task);
        pool.onSent(server, task.task());
        inFlight++;
        lastAttemptId++;
        TaskAttempt attempt =
                new TaskAttempt(lastAttemptId, job.jobId, task.task(), server, leaseMillis(job, nowNanos));
        SentTask sent = new SentTask(job, task, attempt, nowNanos);
        job.sent.add(sent);
        transport.start(attempt, result -> onEnd(sent, result));
    }

    /**
     * Returns the time until the deadline of the job, but at least 1 ms, because a lease of 0 would be expired on
     * arrival. Jobs past their deadline are not sent.
     */
    private static long leaseMillis(RunningJob job, long nowNanos) {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(job.deadlineNanos - nowNanos));
    }

    private void onEnd(SentTask sent, AttemptResult result) {
        if (sent.ended) {
            return;
        }
        sent.ended = true;
        RunningJob job = sent.job;
        job.sent.remove(sent);
        job.usage.onEnded();
        queue.onEnded(sent.queued, result.elapsedNanos());
        inFlight--;
        reportToPool(sent, result);
        onResult.accept(sent, result);
    }

    /**
     * Reports the result to the pool. The result of a stopped task says nothing about the health of its server,
     * unless the server caused the job to miss its deadline.
     */
    private void reportToPool(SentTask sent, AttemptResult result) {
        ServerId server = sent.attempt.server();
        if (sent.job.execution.isEnded() && !isServerTimeout(sent)) {
            pool.onStopped(server, sent.attempt.task(), result);
        } else {
            pool.onEnded(server, sent.attempt.task(), result);
        }
    }

    /**
     * Returns whether the server, and not the wait in the queue, caused the job to miss its deadline: it had the task
     * for at least half of the time promised for the job and for at least 4 times the declared run time, the factor
     * after which section 2.3 of the design treats a connection as suspect. Without this rule, an unresponsive server
     * would receive new tasks after each deadline.
     */
    private boolean isServerTimeout(SentTask sent) {
        RunningJob job = sent.job;
        long elapsedNanos = clock.nanos() - sent.sentNanos;
        long promiseNanos = job.deadlineNanos - job.submittedNanos;
        long declaredNanos = TimeUnit.MILLISECONDS.toNanos(sent.attempt.task().declaredMillis());
        return job.execution.errorKind() == ErrorKind.DEADLINE_EXCEEDED
                && elapsedNanos >= promiseNanos / 2
                && elapsedNanos >= 4 * declaredNanos;
    }

    /** Returns the number of tasks that occupy a slot. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the number of waiting tasks of a class, retries included. */
    int waiting(UrgencyClass urgency) {
        return queue.size(urgency) + retries.size(urgency);
    }

    /** Returns the number of waiting tasks by class, retries included. */
    Map<UrgencyClass, Integer> waiting() {
        Map<UrgencyClass, Integer> waiting = new EnumMap<>(UrgencyClass.class);
        for (UrgencyClass urgency : UrgencyClass.values()) {
            waiting.put(urgency, waiting(urgency));
        }
        return waiting;
    }

    /** Returns whether any task is waiting. */
    boolean hasWaiting() {
        for (UrgencyClass urgency : UrgencyClass.values()) {
            if (waiting(urgency) > 0) {
                return true;
            }
        }
        return false;
    }
}
