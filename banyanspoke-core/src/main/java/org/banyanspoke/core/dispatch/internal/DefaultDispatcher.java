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
import org.banyanspoke.core.dispatch.DispatchEvents;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherSettings;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.core.dispatch.Submission;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.JobRegister;
import org.banyanspoke.core.job.TaskState;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * The dispatcher. Work is triggered by events (submission, result, configuration, shares); a tick only handles what has
 * become due.
 *
 * <p>A job that no backend server in service may serve any more fails at once with {@link ErrorKind#NO_ELIGIBLE_SERVER}
 * if no request for it was written, which proves that it was not run. Otherwise it waits for a server until its deadline.
 */
public final class DefaultDispatcher implements Dispatcher {
    private static final long DRAINING_RETRY_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Clock wallClock;
    private final JobIdIssuer issuer;
    private final JobRegister register;
    private final TaskQueue queue;
    private final ServerPool pool;
    private final DispatchEvents events;
    private final DispatcherSettings settings;
    private final AdmissionPolicy admission;

    private final ContractValidator contracts;
    private final TeamUsageTracker teams;
    private final RunningJobs jobs = new RunningJobs();
    private final TaskSender sender;
    private final LoadMeter loadMeter;
    private final EjectionWatch ejections;
    private final List<Runnable> onIdle = new ArrayList<>();

    private ConfigState config = ConfigState.EMPTY;
    private boolean draining;
    private boolean serversChanged;
    private long lastOrder;

    /** Creates a dispatcher with the empty configuration, which refuses all work. */
    public DefaultDispatcher(
            MonotonicClock clock,
            Clock wallClock,
            JobIdIssuer issuer,
            JobRegister register,
            AdmissionPolicy admission,
            TaskQueue queue,
            ServerPool pool,
            TaskTransport transport,
            DispatchEvents events,
            DispatcherSettings settings) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.issuer = issuer;
        this.register = register;
        this.admission = admission;
        this.queue = queue;
        this.pool = pool;
        this.events = events;
        this.settings = settings;
        this.contracts = new ContractValidator(wallClock);
        this.teams = new TeamUsageTracker(clock);
        this.sender = new TaskSender(clock, jobs, queue, pool, transport, this::onResult);
        this.loadMeter = new LoadMeter(clock, queue, pool, sender, teams);
        this.ejections = new EjectionWatch(pool, events, clock.nanos());
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
            takeBatch(job);
        }
        failUnservable();
        proceed();
    }

    private void takeBatch(RunningJob job) {
        BatchConfig batch = config.batches().get(job.batch.id());
        if (batch != null && batch.team().equals(job.team)) {
            jobs.setBatch(job, batch);
        }
    }

    @Override
    public void setLeaving(Set<ServerId> leaving) {
        pool.setLeaving(leaving);
        failUnservable();
        proceed();
    }

    @Override
    public void setQuotaShares(QuotaShares shares) {
        teams.setShares(shares);
        proceed();
    }

    @Override
    public List<JobId> reserve(TeamId team, int count) throws RefusedException {
        try {
            checkReservation(team);
        } catch (RefusedException e) {
            events.refused(team, e.kind());
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
                    "this host holds " + register.size() + " records of used job ids, the limit",
                    Generations.LENGTH_NANOS / 1_000_000);
        }
    }

    private void requireNotDraining() throws RefusedException {
        if (draining) {
            throw new RefusedException(ErrorKind.DRAINING, "this entry host is stopping", DRAINING_RETRY_MILLIS);
        }
    }

    @Override
    public void submit(Submission submission, Consumer<JobAnswer> onEnd) throws DispatchException {
        expireDue();
        JobRegister.Known known = register.find(submission.jobId(), submission.team(), submission.bodyDigest());
        if (known instanceof JobRegister.Finished finished) {
            onEnd.accept(finished.answer());
        } else if (known instanceof JobRegister.Running) {
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

    /** Checks every rule before anything is recorded or queued. */
    private RunningJob admit(Submission submission) throws RefusedException {
        requireNotDraining();
        TeamId team = submission.team();
        JobRequest request = submission.request();
        AdmissionRequest asked = contracts.check(config, team, request);
        admission.admit(asked, loadMeter.load(asked, config.classShares()));
        register.begin(submission.jobId(), team, submission.bodyDigest());
        long nowNanos = clock.nanos();
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(asked.promiseMillis());
        lastOrder++;
        return new RunningJob(
                submission.jobId(),
                team,
                request.tasks(),
                asked.batch(),
                teams.team(team),
                nowNanos,
                deadlineNanos,
                lastOrder);
    }

    private void onRefused(Submission submission, RefusedException e) {
        if (e.kind() == ErrorKind.QUOTA_EXCEEDED) {
            teams.team(submission.team()).onRefused(submission.request().tasks().size());
        }
        events.refused(submission.team(), e.kind());
    }

    @Override
    public JobAnswer status(TeamId team, JobId jobId) throws DispatchException {
        expireDue();
        JobRegister.Known known = register.find(jobId, team);
        if (known instanceof JobRegister.Finished finished) {
            return finished.answer();
        }
        if (known instanceof JobRegister.Running) {
            return jobs.get(jobId).execution.answer();
        }
        throw new RefusedException(ErrorKind.UNKNOWN_JOB, "job id \"" + jobId + "\" was never submitted", 0);
    }

    @Override
    public JobAnswer cancel(TeamId team, JobId jobId) throws DispatchException {
        JobAnswer present = status(team, jobId);
        RunningJob job = jobs.get(jobId);
        if (job == null) {
            return present;
        }
        return fail(job, ErrorKind.CANCELLED, "the job was cancelled by its team");
    }

    @Override
    public void drain(Runnable callback) {
        draining = true;
        onIdle.add(callback);
        tellIfIdle();
    }

    /**
     * {@inheritDoc}
     *
     * @throws IllegalStateException if the dispatcher does not drain: an id could be used afterwards
     */
    @Override
    public JobArchive archive() {
        if (!draining) {
            throw new IllegalStateException("an archive is complete only after drain");
        }
        return register.archive(jobId -> jobs.get(jobId).execution.answer());
    }

    @Override
    public void tick() {
        expireDue();
        register.expire();
        teams.rollIntervals();
        ejections.tick(clock.nanos());
        if (serversChanged) {
            serversChanged = false;
            failUnservable();
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

    /** Fails what is due, then sends what can be sent. */
    private void proceed() {
        expireDue();
        sender.sendWaiting();
    }

    /** Runs before anything that reads or changes a job, so that a pause cannot extend a promise or a contract. */
    private void expireDue() {
        Optional<RunningJob> overdue = jobs.firstOverdue(clock.nanos());
        while (overdue.isPresent()) {
            failOverdue(overdue.get());
            overdue = jobs.firstOverdue(clock.nanos());
        }
        Optional<RunningJob> expired = jobs.firstExpired(wallClock.instant());
        while (expired.isPresent()) {
            onContractExpired(expired.get());
            expired = jobs.firstExpired(wallClock.instant());
        }
    }

    /** The counts prove that nothing was run if no request for any task was written. */
    private void failOverdue(RunningJob job) {
        if (job.execution.mayHaveStarted()) {
            fail(job, ErrorKind.DEADLINE_EXCEEDED, "the job did not finish within its promise");
        } else {
            fail(job, ErrorKind.NOT_STARTED_IN_TIME, "no task was started within the promise of the job");
        }
    }

    /** A job whose tasks have all started may finish. */
    private void onContractExpired(RunningJob job) {
        if (job.execution.count(TaskState.WAITING) == 0) {
            jobs.ignoreContract(job);
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

    private void failUnservable() {
        Map<BatchId, Boolean> servable = new HashMap<>();
        for (RunningJob job : jobs.all()) {
            boolean mayFail = !job.execution.isEnded() && !job.execution.mayHaveStarted();
            if (mayFail && !servable.computeIfAbsent(job.batch.id(), id -> pool.hasEligible(job.batch))) {
                failUnservable(job);
            }
        }
    }

    private void failUnservable(RunningJob job) {
        fail(
                job,
                ErrorKind.NO_ELIGIBLE_SERVER,
                "no backend server in service may serve batch \"" + job.batch.id() + "\" any more");
    }

    private void onResult(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        tellResult(sent, result);
        expireDue();
        if (!job.execution.isEnded()) {
            apply(sent, result);
        }
        sender.sendAfterEvent(job.batch, sent.attempt.task());
    }

    private void tellResult(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        if (result.outcome() == AttemptResult.Outcome.DONE) {
            loadMeter.onDone(job.batch.urgency(), result.elapsedNanos());
        }
        events.taskEnded(
                job.team,
                job.batch.urgency(),
                sent.attempt.server(),
                result.outcome(),
                sent.sentNanos - sent.queued.enqueuedNanos(),
                result.elapsedNanos());
        if (result.serverLeaving()) {
            serversChanged = true;
            events.serverLeaving(sent.attempt.server(), result.serverIncarnation());
        }
    }

    private void apply(SentTask sent, AttemptResult result) {
        RunningJob job = sent.job;
        int index = sent.queued.index();
        switch (result.outcome()) {
            case DONE -> job.execution.onTaskDone(index, result.result(), sent.attempt.server());
            case FAILED -> job.execution.onTaskFailed(index, result.result());
            case UNKNOWN -> job.execution.onTaskUnknown(index, result.result());
            case NOT_SENT -> move(sent, false, result.result());
            case REFUSED_BY_SERVER -> onRefusedByServer(sent, result.result());
        }
        if (job.execution.isEnded() && jobs.get(job.jobId) == job) {
            end(job);
        }
    }

    /** A request for a non-idempotent task is written at most once, whatever the server says about it. */
    private void onRefusedByServer(SentTask sent, String message) {
        if (sent.attempt.task().idempotent()) {
            move(sent, true, message);
        } else {
            sent.job.execution.onTaskFailed(
                    sent.queued.index(), "the server refused it and it is not idempotent: " + message);
        }
    }

    private void move(SentTask sent, boolean written, String message) {
        RunningJob job = sent.job;
        int index = sent.queued.index();
        job.execution.onTaskNotStarted(index, written);
        if (contracts.isExpired(job.batch)) {
            failExpired(job);
        } else if (job.countMove(index) > settings.maxMoves()) {
            failUnreachable(sent, message);
        } else {
            sender.hold(sent, clock.nanos() + settings.moveDelayNanos());
        }
    }

    /** States that nothing was run only if no request for any task of the job was written. */
    private void failUnreachable(SentTask sent, String message) {
        boolean started = sent.job.execution.mayHaveStarted();
        fail(
                sent.job,
                started ? ErrorKind.TASK_FAILED : ErrorKind.NO_ELIGIBLE_SERVER,
                "no backend server took task \"" + sent.attempt.task().id() + "\", last: " + message);
    }

    private JobAnswer fail(RunningJob job, ErrorKind kind, String message) {
        job.execution.fail(kind, message);
        return end(job);
    }

    /** Completes all changes of state before the callers hear of the end, because they may call again. */
    private JobAnswer end(RunningJob job) {
        jobs.remove(job);
        sender.withdraw(job);
        JobAnswer answer = job.execution.answer();
        register.finish(job.jobId, answer);
        events.jobEnded(
                job.team,
                job.batch.urgency(),
                job.jobId,
                job.execution.errorKind(),
                clock.nanos() - job.submittedNanos);
        for (Consumer<JobAnswer> caller : job.callers) {
            caller.accept(answer);
        }
        tellIfIdle();
        return answer;
    }

    private void tellIfIdle() {
        if (draining && jobs.isEmpty()) {
            List<Runnable> callbacks = List.copyOf(onIdle);
            onIdle.clear();
            callbacks.forEach(Runnable::run);
        }
    }
}
