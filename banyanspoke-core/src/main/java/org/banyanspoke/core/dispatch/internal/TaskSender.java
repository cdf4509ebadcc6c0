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

/** Sends waiting tasks of running jobs to backend servers with room and keeps account of the slots they hold. */
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

    /**
     * @param onResult receives the first result of each attempt, after the slot is free
     */
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

    /** Queues all tasks of a new job. */
    void enqueue(RunningJob job, int teamWeight) {
        job.usage.onWaiting(job.tasks.size());
        for (int i = 0; i < job.tasks.size(); i++) {
            queue.add(new QueuedTask(
                    job.jobId, i, job.tasks.get(i), job.batch, teamWeight, job.deadlineNanos, job.submittedNanos));
        }
    }

    /** Keeps a task that a server did not take until another server has room. */
    void scheduleRetry(SentTask sent, long excludedUntilNanos) {
        sent.job.usage.onWaiting(1);
        retries.add(new RetryQueue.Retry(sent.job, sent.queued, sent.attempt.server(), excludedUntilNanos));
    }

    /** Removes the waiting tasks of an ended job and asks the servers to stop those that run. */
    void cancelTasks(RunningJob job) {
        job.usage.onWithdrawn(queue.removeJob(job.jobId) + retries.removeJob(job));
        for (SentTask sent : List.copyOf(job.sent)) {
            transport.stop(sent.attempt);
        }
    }

    /** Sends every task that can be sent now. Offers every waiting batch, so it is for rare events and ticks. */
    void sendWaiting() {
        long nowNanos = clock.nanos();
        sendRetries(nowNanos);
        boolean sent = true;
        while (sent) {
            sent = sendNext(nowNanos);
        }
    }

    /**
     * Sends what can be sent after an event that concerns one batch only: a new job, or a result from a server that may
     * serve the batch. If no server has room for the batch, the event made no other task sendable either, except an idempotent
     * one on a server on probation, which the next tick finds.
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

    /** Remembers the selected server, so that the queue's choice needs no second selection. */
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
     * Sends a task that the queue chose. The queue may know of another task of its batch only that it is sendable; if this
     * one is not (a server on probation takes idempotent tasks only), it goes back.
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

    /** A lease of 0 would be expired on arrival, and a job past its deadline is not sent. */
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

    /** A task that was stopped says nothing about the health of its server, unless it had been silent for too long. */
    private void reportToPool(SentTask sent, AttemptResult result) {
        ServerId server = sent.attempt.server();
        if (sent.job.execution.isEnded() && !isServerTimeout(sent)) {
            pool.onStopped(server, sent.attempt.task(), result);
        } else {
            pool.onEnded(server, sent.attempt.task(), result);
        }
    }

    /**
     * Returns whether the server, rather than a wait in the queue, made the job miss its deadline: it had the task for half
     * of the promise and for 4 times its declared run time, the factor after which design section 2.3 suspects a
     * connection. Without this rule a frozen server would get new tasks after each deadline.
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

    /** Returns the tasks that hold slots. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the waiting tasks of a class. */
    int waiting(UrgencyClass urgency) {
        return queue.size(urgency) + retries.size(urgency);
    }

    /** Returns the waiting tasks by class. */
    Map<UrgencyClass, Integer> waiting() {
        Map<UrgencyClass, Integer> waiting = new EnumMap<>(UrgencyClass.class);
        for (UrgencyClass urgency : UrgencyClass.values()) {
            waiting.put(urgency, waiting(urgency));
        }
        return waiting;
    }

    /** Returns whether any task waits. */
    boolean hasWaiting() {
        for (UrgencyClass urgency : UrgencyClass.values()) {
            if (waiting(urgency) > 0) {
                return true;
            }
        }
        return false;
    }
}
