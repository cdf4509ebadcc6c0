package org.banyanspoke.core.pool.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerContact;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.FencingTokenSource;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PoolSettings;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.StartPermission;
import org.banyanspoke.core.time.MonotonicClock;

/** Default {@link ServerPool}: admits jobs, dispatches their tasks to servers and retries failed tasks. */
public final class DefaultServerPool implements ServerPool {
    /** Delay before a server fenced by another owner is claimed again, if it is still assigned to this process. */
    private static final long RECLAIM_MILLIS = 400;
    /** Minimum retry delay returned with a refusal. */
    private static final long MIN_RETRY_AFTER_MILLIS = 200;
    /** Retry delay returned while starts are suspended; by then the entry hosts send jobs to other dispatchers. */
    private static final long SUSPENDED_RETRY_AFTER_MILLIS = 1_000;

    private final ServerCommands commands;
    private final FencingTokenSource tokens;
    private final PoolSettings settings;
    private final MonotonicClock clock;
    private final MonotonicClock inputClock;
    private final CallerContact contact;
    private final PoolListener listener;
    private final Map<ServerId, OwnedServer> servers = new LinkedHashMap<>();
    private final Map<ServerId, OwnedServer> releasing = new HashMap<>();
    private final Map<ServerId, Long> reclaimAtMillis = new HashMap<>();
    private final Map<CallerJobId, JobProgress> jobs = new LinkedHashMap<>();
    private final JobQueue queue = new JobQueue();
    private final RunTimeModel runTimes = new RunTimeModel();
    private final NearPlacement nearPlacement;
    private final ServerSelector selector;
    private final OwnedServerListener serverListener = new ServerListener();
    private StartPermission startPermission = StartPermission.ALL_JOBS;
    private String restrictionReason = "";
    private boolean dispatching;
    private boolean dispatchAgain;

    /** See {@link ServerPool#create}. */
    public DefaultServerPool(
            ServerCommands commands,
            FencingTokenSource tokens,
            PoolSettings settings,
            MonotonicClock clock,
            MonotonicClock inputClock,
            CallerContact contact,
            PoolListener listener) {
        this.commands = commands;
        this.tokens = tokens;
        this.settings = settings;
        this.clock = clock;
        this.inputClock = inputClock;
        this.contact = contact;
        this.listener = listener;
        this.nearPlacement = new NearPlacement(settings.remoteRackFactor(), listener);
        this.selector = new ServerSelector(runTimes, nearPlacement);
    }

    @Override
    public void assign(Collection<ServerDescriptor> descriptors) {
        Set<ServerId> assignedIds = new HashSet<>();
        for (ServerDescriptor descriptor : descriptors) {
            assignedIds.add(descriptor.id());
            OwnedServer existing = servers.get(descriptor.id());
            if (existing != null) {
                existing.updateDescriptor(descriptor);
            } else {
                acquire(descriptor);
            }
        }
        for (ServerId id : List.copyOf(servers.keySet())) {
            if (!assignedIds.contains(id)) {
                releasing.put(id, servers.remove(id));
                reclaimAtMillis.remove(id);
            }
        }
        removeIdleReleasing();
        dispatch();
    }

    private void acquire(ServerDescriptor descriptor) {
        OwnedServer returning = releasing.remove(descriptor.id());
        if (returning != null) {
            returning.updateDescriptor(descriptor);
            servers.put(descriptor.id(), returning);
            return;
        }
        ServerLease lease = new ServerLease(settings, clock, inputClock, contact);
        OwnedServer server = new OwnedServer(descriptor, commands, settings, clock, lease, serverListener);
        servers.put(descriptor.id(), server);
        server.claim(tokens.current());
    }

    private void removeIdleReleasing() {
        releasing.values().removeIf(server -> {
            if (server.isIdle()) {
                server.close();
                runTimes.forget(server.descriptor().id());
                return true;
            }
            return false;
        });
    }

    @Override
    public void submit(PooledJob job, Consumer<JobOutcome> onOutcome) {
        JobProgress existing = jobs.get(job.id());
        if (existing != null && !existing.isEnded()) {
            existing.addCallback(onOutcome);
            return;
        }
        long nowMillis = clock.millis();
        long arrivalMillis = nowMillis - job.ageMillis();
        JobProgress progress = new JobProgress(
                job, arrivalMillis, arrivalMillis + job.targetMillis(), arrivalMillis + job.expiryMillis());
        progress.addCallback(onOutcome);
        if (existing != null) {
            // Not a refusal: tasks of the job have run, and another dispatcher must not start them while the earlier
            // runs are being stopped.
            end(progress, JobOutcome.abandoned("runs of an earlier submission of this job are still being stopped"));
            return;
        }
        if (startPermission != StartPermission.ALL_JOBS) {
            refuse(progress, restrictionReason, SUSPENDED_RETRY_AFTER_MILLIS);
            return;
        }
        long waitMillis = WaitEstimator.expectedWaitMillis(progress, servers.values(), queue, nowMillis);
        progress.setExpectedWaitMillis(waitMillis);
        if (waitMillis == JobProgress.NO_SERVER) {
            refuse(progress, "no usable server can run this job", 2 * MIN_RETRY_AFTER_MILLIS);
            return;
        }
        if (!job.isUsefulAfter(waitMillis)) {
            refuse(
                    progress,
                    "expected wait of " + waitMillis + " ms is too long for the job to finish before its expiry",
                    waitMillis);
            return;
        }
        jobs.put(job.id(), progress);
        queue.add(progress);
        dispatch();
    }

    private void refuse(JobProgress progress, String reason, long retryAfterMillis) {
        end(progress, JobOutcome.refused(reason, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis)));
    }

    @Override
    public void permitStarts(StartPermission permission, String reason) {
        startPermission = permission;
        restrictionReason = reason;
        endJobsThatMayNotStart();
        dispatch();
    }

    private void endJobsThatMayNotStart() {
        if (startPermission == StartPermission.ALL_JOBS) {
            return;
        }
        for (JobProgress progress : List.copyOf(jobs.values())) {
            if (progress.isEnded() || progress.pendingTasks() == 0 || startPermission.allows(progress.started())) {
                continue;
            }
            if (progress.started()) {
                end(progress, JobOutcome.abandoned(restrictionReason));
            } else {
                refuse(progress, restrictionReason, SUSPENDED_RETRY_AFTER_MILLIS);
            }
        }
    }

    @Override
    public void cancel(CallerJobId id, String reason) {
        JobProgress progress = jobs.get(id);
        if (progress != null && !progress.isEnded()) {
            abort(progress, reason);
            dispatch();
        }
    }

    private void abort(JobProgress progress, String reason) {
        if (progress.started()) {
            end(progress, JobOutcome.abandoned(reason));
        } else {
            end(progress, JobOutcome.refused(reason, MIN_RETRY_AFTER_MILLIS));
        }
    }

    /** Notifies the callers and stops the remaining runs. The job is removed once no run of it is left. */
    private void end(JobProgress progress, JobOutcome outcome) {
        long nowMillis = clock.millis();
        long waitedMillis = (progress.started() ? progress.firstStartMillis() : nowMillis) - progress.arrivalMillis();
        queue.remove(progress);
        progress.end(outcome);
        nearPlacement.onJobEnded(progress, nowMillis);
        listener.onJobEnded(
                progress.job(),
                outcome,
                load(),
                progress.expectedWaitMillis(),
                waitedMillis,
                nowMillis - progress.arrivalMillis());
        for (RunKey run : progress.runKeys()) {
            OwnedServer server = progress.serverOf(run);
            Run runOnServer = server.run(run);
            if (runOnServer != null) {
                server.stop(runOnServer);
            }
        }
        if (!progress.hasRuns()) {
            jobs.remove(progress.id(), progress);
        }
    }

    @Override
    public void release(String reason) {
        List<JobProgress> openJobs = List.copyOf(jobs.values());
        servers.values().forEach(OwnedServer::close);
        releasing.values().forEach(OwnedServer::close);
        servers.clear();
        releasing.clear();
        reclaimAtMillis.clear();
        jobs.clear();
        for (JobProgress progress : openJobs) {
            if (!progress.isEnded()) {
                abort(progress, reason);
            }
        }
    }

    @Override
    public void tick() {
        long nowMillis = clock.millis();
        List.copyOf(servers.values()).forEach(server -> server.tick(nowMillis));
        List.copyOf(releasing.values()).forEach(server -> server.tick(nowMillis));
        removeIdleReleasing();
        reclaim(nowMillis);
        endExpiredJobs(nowMillis);
        endJobsThatMayNotStart();
        stopStalledRuns(nowMillis);
        dispatch();
    }

    private void reclaim(long nowMillis) {
        for (Map.Entry<ServerId, Long> each : List.copyOf(reclaimAtMillis.entrySet())) {
            if (nowMillis >= each.getValue()) {
                reclaimAtMillis.remove(each.getKey());
                OwnedServer server = servers.get(each.getKey());
                if (server != null) {
                    server.claim(tokens.next());
                }
            }
        }
    }

    private void endExpiredJobs(long nowMillis) {
        for (JobProgress progress : List.copyOf(jobs.values())) {
            if (progress.isEnded()) {
                continue;
            }
            if (nowMillis >= progress.callerDeadlineMillis()) {
                abort(progress, "the caller's deadline has passed");
            } else if (!progress.started() && nowMillis + progress.job().minRunMillis() > progress.expiresAtMillis()) {
                refuse(progress, "no server capacity became free before the job expired", MIN_RETRY_AFTER_MILLIS);
            }
        }
    }

    private void stopStalledRuns(long nowMillis) {
        for (OwnedServer server : servers.values()) {
            for (Run run : server.runs()) {
                if (run.isStopping()) {
                    continue;
                }
                if (StalledRuns.isStalled(run)) {
                    stopStalledRun(server, run, nowMillis);
                } else if (endsMuchEarlierElsewhere(server, run, nowMillis)) {
                    run.job.excludeServer(run.key, server.descriptor().id());
                    server.stop(run);
                }
            }
        }
    }

    private void stopStalledRun(OwnedServer server, Run run, long nowMillis) {
        server.stop(run);
        if (server.circuitBreaker().recordFailure(nowMillis)) {
            listener.onServerStateChanged(server.descriptor().id(), "paused", "task stalled");
        }
    }

    private boolean endsMuchEarlierElsewhere(OwnedServer server, Run run, long nowMillis) {
        double serverFactor = runTimes.serverFactor(server.descriptor().id());
        if (!StalledRuns.isOnSlowServer(run, serverFactor)) {
            return false;
        }
        double newRunMillis = selector.shortestMillisElsewhere(run.job, server, servers.values(), nowMillis);
        return StalledRuns.isWorthRestarting(run.expectedEndMillis(nowMillis) - nowMillis, newRunMillis);
    }

    /**
     * Assigns free capacity to pending tasks. A reentrant call causes another pass after the current one. With a full
     * pool, a pass only checks each server once, regardless of the number of queued jobs.
     */
    private void dispatch() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        try {
            do {
                dispatchAgain = false;
                dispatchOnce();
            } while (dispatchAgain);
        } finally {
            dispatching = false;
        }
    }

    private void dispatchOnce() {
        if (queue.isEmpty() || startPermission == StartPermission.NONE) {
            return;
        }
        ServerSelector.Candidates candidates = selector.candidates(servers.values(), queue.minCpuMillicores());
        if (!candidates.available().isEmpty()) {
            startPendingTasks(candidates, clock.millis());
        }
    }

    private void startPendingTasks(ServerSelector.Candidates candidates, long nowMillis) {
        int maxFreeCpu = candidates.maxFreeCpu();
        for (JobProgress progress : queue.ordered(nowMillis)) {
            if (progress.requirements().cpuMillicores() > maxFreeCpu) {
                candidates.near().skip(progress);
            } else if (hasContact(progress) && startTasks(progress, candidates, nowMillis)) {
                maxFreeCpu = candidates.maxFreeCpu();
            }
        }
    }

    /** Returns whether a job's caller certainly waits. If not, the job may already run elsewhere. */
    private boolean hasContact(JobProgress progress) {
        return contact.ageMillis(progress.id()) <= settings.maxContactAgeAtStartMillis();
    }

    /** Starts as many tasks of a job as there is capacity for. Returns whether any was started. */
    private boolean startTasks(JobProgress progress, ServerSelector.Candidates candidates, long nowMillis) {
        boolean startedAny = false;
        while (progress.pendingTasks() > 0 && !progress.isEnded()) {
            OwnedServer server = selector.select(progress, candidates, nowMillis);
            if (server == null) {
                break;
            }
            startedAny = true;
            RunKey key = progress.startNextTask(server, nowMillis);
            nearPlacement.onStarted(progress, server.descriptor(), nowMillis);
            long expectedMillis = (long) selector.expectedMillis(progress, server.descriptor());
            listener.onRunStarted(key, server.descriptor().id(), expectedMillis);
            server.start(
                    new Run(key, progress, nowMillis, expectedMillis),
                    progress.job().payload());
        }
        return startedAny;
    }

    @Override
    public PoolLoad load() {
        return LoadReport.of(servers.values(), queue, clock.millis());
    }

    @Override
    public boolean isIdle() {
        return jobs.isEmpty() && servers.values().stream().allMatch(OwnedServer::isIdle) && releasing.isEmpty();
    }

    @Override
    public boolean isIdle(ServerId server) {
        OwnedServer owned = servers.getOrDefault(server, releasing.get(server));
        return owned == null || owned.isIdle();
    }

    private final class ServerListener implements OwnedServerListener {
        @Override
        public void startRefused(OwnedServer server, Run run, Status status) {
            listener.onStartRefused(run.key, server.descriptor().id(), status);
        }

        @Override
        public void runEnded(OwnedServer server, Run run, EndKind kind) {
            long runMillis = clock.millis() - run.startSentMillis;
            listener.onRunEnded(run.key, server.descriptor().id(), kind, runMillis);
            JobProgress progress = run.job;
            switch (kind) {
                case DONE -> onDone(server, run, progress, runMillis);
                case FAILED -> onFailed(server, run, progress);
                default -> progress.releaseRun(run.key);
            }
            if (progress.isEnded() && !progress.hasRuns()) {
                jobs.remove(progress.id(), progress);
            } else if (!progress.isEnded() && progress.pendingTasks() > 0) {
                queue.add(progress);
            }
            dispatch();
        }

        private void onDone(OwnedServer server, Run run, JobProgress progress, long runMillis) {
            server.circuitBreaker().recordSuccess();
            runTimes.record(server.descriptor(), progress.requirements().estimateMillis(), runMillis);
            if (progress.hasFailedBefore(run.key)) {
                progress.excludedServers(run.key).forEach(this::blame);
            }
            if (progress.recordTaskDone(run.key) && !progress.isEnded()) {
                end(progress, JobOutcome.completed());
            }
        }

        private void blame(ServerId id) {
            OwnedServer server = servers.get(id);
            if (server != null) {
                server.circuitBreaker().recordBlame();
            }
        }

        private void onFailed(OwnedServer server, Run run, JobProgress progress) {
            long nowMillis = clock.millis();
            // A task that has failed before may itself be faulty, so its failure is not counted against the server.
            if (!progress.hasFailedBefore(run.key) && server.circuitBreaker().recordFailure(nowMillis)) {
                listener.onServerStateChanged(server.descriptor().id(), "paused", "consecutive task failures");
            }
            int failures =
                    progress.recordTaskFailure(run.key, server.descriptor().id());
            progress.releaseRun(run.key);
            if (!progress.isEnded() && failures >= progress.job().queuePolicy().maxAttempts()) {
                end(progress, JobOutcome.failed("task " + run.key.task().index() + " failed " + failures + " times"));
            }
        }

        @Override
        public void capacityFreed(OwnedServer server) {
            dispatch();
        }

        @Override
        public void fenced(OwnedServer server) {
            for (Run run : server.abandonRuns()) {
                JobProgress progress = run.job;
                progress.releaseRun(run.key);
                if (!progress.isEnded()) {
                    abort(progress, "another process has taken ownership of a server that runs this job");
                }
                if (!progress.hasRuns()) {
                    jobs.remove(progress.id(), progress);
                }
            }
            if (servers.get(server.descriptor().id()) == server) {
                reclaimAtMillis.put(server.descriptor().id(), clock.millis() + RECLAIM_MILLIS);
            }
        }

        @Override
        public void restarted(OwnedServer server) {
            // The server may have restarted on other hardware.
            runTimes.forget(server.descriptor().id());
            server.claim(tokens.next());
        }

        @Override
        public void stateChanged(OwnedServer server, String state, String reason) {
            listener.onServerStateChanged(server.descriptor().id(), state, reason);
        }
    }
}
