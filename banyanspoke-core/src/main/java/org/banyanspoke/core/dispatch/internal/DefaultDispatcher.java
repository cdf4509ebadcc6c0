package org.banyanspoke.core.dispatch.internal;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.core.admission.AdmissionPolicy;
import org.banyanspoke.core.admission.AdmissionRequest;
import org.banyanspoke.core.admission.internal.ContractValidator;
import org.banyanspoke.core.admission.internal.TeamUsageTracker;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.DispatcherSettings;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.core.dispatch.Submission;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.JobRegistry;
import org.banyanspoke.core.job.TaskState;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Default implementation of the dispatcher. Work is triggered by events (submission, result, change of configuration
 * or quota shares); a tick only handles what has become due.
 *
 * <p>A job for which no server in service is eligible any more fails at once with {@link
 * ErrorKind#NO_ELIGIBLE_SERVER} if no request for it was written, because it is then certain that no task has run.
 * Otherwise it waits for a server until its deadline.
 */
public final class DefaultDispatcher implements Dispatcher {
    private static final long DRAINING_RETRY_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Clock wallClock;
    private final JobIdIssuer issuer;
    private final JobRegistry register;
    private final TaskQueue queue;
    private final ServerPool pool;
    private final DispatcherListener listener;
    private final DispatcherSettings settings;
    private final AdmissionPolicy admission;

    private final ContractValidator contracts;
    private final TeamUsageTracker teams;
    private final RunningJobs jobs = new RunningJobs();
    private final TaskSender sender;
    private final LoadMeter loadMeter;
    private final EjectionMonitor ejectionMonitor;
    private final List<Runnable> onIdle = new ArrayList<>();

    private ConfigState config = ConfigState.EMPTY;
    private boolean draining;
    private boolean serversChanged;
    private long lastAdmissionNumber;

    /** Creates a dispatcher with the empty configuration, which refuses all jobs. */
    public DefaultDispatcher(
            MonotonicClock clock,
            Clock wallClock,
            JobIdIssuer issuer,
            JobRegistry register,
            AdmissionPolicy admission,
            TaskQueue queue,
            ServerPool pool,
            TaskTransport transport,
            DispatcherListener listener,
            DispatcherSettings settings) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.issuer = issuer;
        this.register = register;
        this.admission = admission;
        this.queue = queue;
        this.pool = pool;
        this.listener = listener;
        this.settings = settings;
        this.contracts = new ContractValidator(wallClock);
        this.teams = new TeamUsageTracker(clock);
        this.sender = new TaskSender(clock, jobs, queue, pool, transport, this::onResult);
        this.loadMeter = new LoadMeter(clock, queue, pool, sender, teams);
        this.ejectionMonitor = new EjectionMonitor(pool, listener, clock.nanos());
    }

    @Override
    public void configure(ConfigState newConfig) {
        if (newConfig.number() < config.number()) {
            return;
        }
        config = newConfig;
        queue.configure(config.classShares());
        pool.configure(config);
        for (RunningJob job : jobs.all()) {
            updateBatch(job);
        }
        failWithoutEligibleServer();
        expireAndSend();
    }

    private void updateBatch(RunningJob job) {
        BatchConfig batch = config.batches().get(job.batch.id());
        if (batch != null && batch.team().equals(job.team)) {
            jobs.setBatch(job, batch);
        }
    }

    @Override
    public void setLeaving(Set<ServerId> leaving) {
        pool.setLeaving(leaving);
        failWithoutEligibleServer();
        expireAndSend();
    }

    @Override
    public void setQuotaShares(QuotaShares shares) {
        teams.setShares(shares);
        expireAndSend();
    }

    @Override
    public List<JobId> reserve(TeamId team, int count) throws RefusedException {
        try {
            checkReservation(team);
        } catch (RefusedException e) {
            listener.requestRefused(team, e.kind());
            throw e;
        }
        return issuer.issue(team, count);
    }

    private void checkReservation(TeamId team) throws RefusedException {
        requireNotDraining();
        contracts.checkTeam(config, team);
        if (register.isFull()) {
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "this host holds " + register.size() + " records of used job ids, which is the limit",
                    Generations.LENGTH_NANOS / 1_000_000);
        }
    }

    private void requireNotDraining() throws RefusedException {
        if (draining) {
            throw new RefusedException(ErrorKind.DRAINING, "this entry host is shutting down", DRAINING_RETRY_MILLIS);
        }
    }

    @Override
    public void submit(Submission submission, Consumer<JobAnswer> onEnd) throws DispatchException {
        expireDue();
        JobRegistry.LookupResult known = register.find(submission.jobId(), submission.team(), submission.bodyDigest());
        if (known instanceof JobRegistry.Finished finished) {
            onEnd.accept(finished.answer());
        } else if (known instanceof JobRegistry.Running) {
            jobs.get(submission.jobId()).callers.add(onEnd);
        } else {
            start(submission, onEnd);
        }
    }

    private void start(Submission submission, Consumer<JobAnswer> onEnd) throws RefusedException {
        RunningJob job;
        try {
            job = admit(submission);
        } catch (RefusedException e) {
            onRefused(submission, e);
            throw e;
        }
        job.callers.add(onEnd);
        jobs.add(job);
        sender.enqueue(job, config.teams().get(job.team).weight());
        sender.sendAfterEvent(job.batch, job.tasks.get(0));
    }

    /** Applies all admission checks before anything is recorded or queued. */
    private RunningJob admit(Submission submission) throws RefusedException {
        requireNotDraining();
        TeamId team = submission.team();
        JobRequest request = submission.request();
        AdmissionRequest admissionRequest = contracts.check(config, team, request);
        admission.admit(admissionRequest, loadMeter.load(admissionRequest, config.classShares()));
        register.begin(submission.jobId(), team, submission.bodyDigest());
        long nowNanos = clock.nanos();
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(admissionRequest.promiseMillis());
        lastAdmissionNumber++;
        return new RunningJob(
                submission.jobId(),
                team,
                request.tasks(),
                admissionRequest.batch(),
                teams.team(team),
                nowNanos,
                deadlineNanos,
                lastAdmissionNumber);
    }

    private void onRefused(Submission submission, RefusedException e) {
        if (e.kind() == ErrorKind.QUOTA_EXCEEDED) {
            teams.team(submission.team()).onRefused(submission.request().tasks().size());
        }
        listener.requestRefused(submission.team(), e.kind());
    }

    @Override
    public JobAnswer status(TeamId team, JobId jobId) throws DispatchException {
        expireDue();
        JobRegistry.LookupResult known = register.find(jobId, team);
        if (known instanceof JobRegistry.Finished finished) {
            return finished.answer();
        }
        if (known instanceof JobRegistry.Running) {
            return jobs.get(jobId).execution.answer();
        }
        throw new RefusedException(ErrorKind.UNKNOWN_JOB, "job id \"" + jobId + "\" was never submitted", 0);
    }

    @Override
    public JobAnswer cancel(TeamId team, JobId jobId) throws DispatchException {
        JobAnswer current = status(team, jobId);
        RunningJob job = jobs.get(jobId);
        if (job == null) {
            return current;
        }
        return fail(job, ErrorKind.CANCELLED, "the job was cancelled by its team");
    }

    @Override
    public void drain(Runnable callback) {
        draining = true;
        onIdle.add(callback);
        notifyIfIdle();
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException if the dispatcher is not draining, because more ids could be used after the call
     */
    @Override
    public JobArchive archive() {
        if (!draining) {
            throw new IllegalStateException("archive requires drain to be called first");
        }
        return register.archive(jobId -> jobs.get(jobId).execution.answer());
    }

    @Override
    public void tick() {
        expireDue();
        register.expire();
        teams.rollIntervals();
        ejectionMonitor.tick(clock.nanos());
        if (serversChanged) {
            serversChanged = false;
            failWithoutEligibleServer();
        }
        if (sender.hasWaiting()) {
            sender.sendWaiting();
        }
    }

    @Override
    public DispatcherStats stats() {
        return new DispatcherStats(
                jobs.size(),
                sender.waiting(),
                sender.inFlight(),
                teams.demand(),
                register.size(),
                register.keptAnswerBytes(),
                pool.views());
    }

    /** Fails overdue and expired jobs, then sends all tasks that can be sent. */
    private void expireAndSend() {
        expireDue();
        sender.sendWaiting();
    }

    /**
     * Fails overdue and expired jobs. Called before any job is read or changed, so that a pause of the process cannot
     * extend a deadline or a contract.
     */
    private void expireDue() {
        Optional<RunningJob> overdue = jobs.firstOverdue(clock.nanos());
        while (overdue.isPresent()) {
            failOverdue(overdue.get());
            overdue = jobs.firstOverdue(clock.nanos());
        }
        Optional<RunningJob> expired = jobs.firstContractExpired(wallClock.instant());
        while (expired.isPresent()) {
            onContractExpired(expired.get());
            expired = jobs.firstContractExpired(wallClock.instant());
        }
    }

    /**
     * Fails a job that has missed its deadline. The error kind states that nothing has run only if no request for any
     * task was written.
     */
    private void failOverdue(RunningJob job) {
        if (job.execution.mayHaveStarted()) {
            fail(job, ErrorKind.DEADLINE_EXCEEDED, "the job did not finish before its deadline");
        } else {
            fail(job, ErrorKind.NOT_STARTED_IN_TIME, "no task of the job was started before its deadline");
        }
    }

    /** Fails a job whose contract has expired, unless all of its tasks have started; such a job may finish. */
    private void onContractExpired(RunningJob job) {
        if (job.execution.count(TaskState.WAITING) == 0) {
            jobs.untrackContractExpiry(job);
        } else {
            failExpired(job);
        }
    }

    private void failExpired(RunningJob job) {
        fail(
                job,
                job.execution.mayHaveStarted() ? ErrorKind.CONTRACT_EXPIRED_RUNNING : ErrorKind.CONTRACT_EXPIRED,
                "the contract of batch \"" + job.batch.id() + "\" expired at " + job.batch.contractExpiry()
                        + " before all tasks had started");
    }

    private void failWithoutEligibleServer() {
        Map<BatchId, Boolean> hasServer = new HashMap<>();
        for (RunningJob job : jobs.all()) {
            boolean mayFail = !job.execution.isEnded() && !job.execution.mayHaveStarted();
            if (mayFail && !hasServer.computeIfAbsent(job.batch.id(), id -> pool.hasEligible(job.batch))) {
                failWithoutEligibleServer(job);
            }
        }
    }

    private void failWithoutEligibleServer(RunningJob job) {
        fail(
                job,
                ErrorKind.NO_ELIGIBLE_SERVER,
                "no backend server in service is eligible for batch \"" + job.batch.id() + "\"");
    }

    private void onResult(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        reportResult(sent, result);
        expireDue();
        if (!job.execution.isEnded()) {
            applyResult(sent, result);
        }
        sender.sendAfterEvent(job.batch, sent.attempt.task());
    }

    private void reportResult(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        if (result.outcome() == AttemptResult.Outcome.DONE) {
            loadMeter.onTaskDone(job.batch.urgency(), result.elapsedNanos());
        }
        listener.taskEnded(
                job.team,
                job.batch.urgency(),
                sent.attempt.server(),
                result.outcome(),
                sent.sentNanos - sent.queued.enqueuedNanos(),
                result.elapsedNanos());
        if (result.serverLeaving()) {
            serversChanged = true;
            listener.serverLeaving(sent.attempt.server(), result.serverIncarnation());
        }
    }

    private void applyResult(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        int index = sent.queued.index();
        switch (result.outcome()) {
            case DONE -> job.execution.onTaskDone(index, result.result(), sent.attempt.server());
            case FAILED -> job.execution.onTaskFailed(index, result.result());
            case UNKNOWN -> job.execution.onTaskUnknown(index, result.result());
            case NOT_SENT -> retryTask(sent, false, result.result());
            case REFUSED_BY_SERVER -> onRefusedByServer(sent, result.result());
        }
        if (job.execution.isEnded() && jobs.get(job.jobId) == job) {
            end(job);
        }
    }

    /**
     * Retries the task only if it is idempotent: a request for a non-idempotent task is written at most once, even if
     * the server states that it did not start the task.
     */
    private void onRefusedByServer(SentTask sent, String message) {
        if (sent.attempt.task().idempotent()) {
            retryTask(sent, true, message);
        } else {
            sent.job.execution.onTaskFailed(
                    sent.queued.index(),
                    "the server refused the task, which is not idempotent and cannot be retried: " + message);
        }
    }

    private void retryTask(SentTask sent, boolean written, String message) {
        RunningJob job = sent.job;
        int index = sent.queued.index();
        job.execution.onTaskNotStarted(index, written);
        if (contracts.isExpired(job.batch)) {
            failExpired(job);
        } else if (job.incrementRetries(index) > settings.maxRetries()) {
            failUndeliverable(sent, message);
        } else {
            sender.scheduleRetry(sent, clock.nanos() + settings.retryDelayNanos());
        }
    }

    /**
     * Fails a job after the last retry of a task. The error kind states that nothing has run only if no request for
     * any task of the job was written.
     */
    private void failUndeliverable(SentTask sent, String message) {
        boolean started = sent.job.execution.mayHaveStarted();
        fail(
                sent.job,
                started ? ErrorKind.TASK_FAILED : ErrorKind.NO_ELIGIBLE_SERVER,
                "no backend server accepted task \"" + sent.attempt.task().id() + "\", last error: " + message);
    }

    private JobAnswer fail(RunningJob job, ErrorKind kind, String message) {
        job.execution.fail(kind, message);
        return end(job);
    }

    /**
     * Ends a job. All state changes are complete before the callers are notified, because a callback may call the
     * dispatcher again.
     */
    private JobAnswer end(RunningJob job) {
        jobs.remove(job);
        sender.cancelTasks(job);
        JobAnswer answer = job.execution.answer();
        register.finish(job.jobId, answer);
        listener.jobEnded(
                job.team,
                job.batch.urgency(),
                job.jobId,
                job.execution.errorKind(),
                clock.nanos() - job.submittedNanos);
        for (Consumer<JobAnswer> caller : job.callers) {
            caller.accept(answer);
        }
        notifyIfIdle();
        return answer;
    }

    private void notifyIfIdle() {
        if (draining && jobs.isEmpty()) {
            List<Runnable> callbacks = List.copyOf(onIdle);
            onIdle.clear();
            callbacks.forEach(Runnable::run);
        }
    }
}
