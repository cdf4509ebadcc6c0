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
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolEvents;
import org.banyanspoke.core.pool.PoolLimits;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerEntry;
import org.banyanspoke.core.pool.ServerOrders;
import org.banyanspoke.core.pool.ServerOrders.EndKind;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.TokenSource;
import org.banyanspoke.core.time.MonotonicClock;

/** Joins jobs and servers: admission, order, choice of server, retries. */
public final class DefaultServerPool implements ServerPool {
    /** A server that obeys another owner is claimed again after this time, if it still belongs to this process. */
    private static final long RECLAIM_MILLIS = 400;
    /** A run is taken to hang when it lasts this many times longer than expected, */
    private static final double HUNG_FACTOR = 3;
    /** and this much longer, */
    private static final long HUNG_MILLIS = 150;
    /** and has done less than this share of its work. */
    private static final int HUNG_PERCENT = 60;
    /** Callers of refused jobs come back no sooner. */
    private static final long SHORTEST_RETRY_MILLIS = 200;

    private final ServerOrders orders;
    private final TokenSource tokens;
    private final PoolLimits limits;
    private final MonotonicClock clock;
    private final PoolEvents events;
    private final Map<ServerId, OwnedServer> servers = new LinkedHashMap<>();
    private final Map<ServerId, OwnedServer> leaving = new HashMap<>();
    private final Map<ServerId, Long> reclaimMillis = new HashMap<>();
    private final Map<CallerJobId, JobProgress> jobs = new LinkedHashMap<>();
    private final JobQueue queue = new JobQueue();
    private final SpeedModel speeds = new SpeedModel();
    private final ServerChoice choice;
    private final OwnedServer.Listener serverListener = new ServerListener();
    private boolean dispatching;
    private boolean dispatchAgain;

    /** See {@link ServerPool#create}. */
    public DefaultServerPool(
            ServerOrders orders, TokenSource tokens, PoolLimits limits, MonotonicClock clock, PoolEvents events) {
        this.orders = orders;
        this.tokens = tokens;
        this.limits = limits;
        this.clock = clock;
        this.events = events;
        this.choice = new ServerChoice(speeds, limits.farFactor());
    }

    @Override
    public void assign(Collection<ServerEntry> entries) {
        Set<ServerId> wanted = new HashSet<>();
        for (ServerEntry entry : entries) {
            wanted.add(entry.id());
            OwnedServer known = servers.get(entry.id());
            if (known != null) {
                known.update(entry);
            } else {
                own(entry);
            }
        }
        for (ServerId id : List.copyOf(servers.keySet())) {
            if (!wanted.contains(id)) {
                leaving.put(id, servers.remove(id));
                reclaimMillis.remove(id);
            }
        }
        forgetIdleLeaving();
        dispatch();
    }

    private void own(ServerEntry entry) {
        OwnedServer back = leaving.remove(entry.id());
        if (back != null) {
            back.update(entry);
            servers.put(entry.id(), back);
            return;
        }
        OwnedServer server = new OwnedServer(entry, orders, limits, clock, serverListener);
        servers.put(entry.id(), server);
        server.claim(tokens.current());
    }

    private void forgetIdleLeaving() {
        leaving.values().removeIf(server -> {
            if (server.idle()) {
                server.drop();
                speeds.forget(server.entry().id());
                return true;
            }
            return false;
        });
    }

    @Override
    public void submit(PooledJob job, Consumer<JobOutcome> whenEnded) {
        JobProgress known = jobs.get(job.id());
        if (known != null && !known.over()) {
            known.addWaiting(whenEnded);
            return;
        }
        long nowMillis = clock.millis();
        long arrivalMillis = nowMillis - job.ageMillis();
        JobProgress progress = new JobProgress(
                job, arrivalMillis, arrivalMillis + job.targetMillis(), arrivalMillis + job.usefulMillis());
        progress.addWaiting(whenEnded);
        if (known != null) {
            // No refusal: tasks of the job have run, and another dispatcher must not start them beside what is being
            // stopped.
            end(progress, JobOutcome.abandoned("an earlier run of this job is being stopped"));
            return;
        }
        long waitMillis = expectedWaitMillis(progress, nowMillis);
        progress.expectWait(waitMillis);
        if (waitMillis == JobProgress.NO_SERVER) {
            refuse(progress, "no server can run this job now", 2 * SHORTEST_RETRY_MILLIS);
            return;
        }
        if (!job.usefulAfter(waitMillis)) {
            refuse(progress, "expected to wait " + waitMillis + " ms", waitMillis);
            return;
        }
        jobs.put(job.id(), progress);
        queue.add(progress);
        dispatch();
    }

    private void refuse(JobProgress progress, String reason, long retryAfterMillis) {
        end(progress, JobOutcome.refused(reason, Math.max(SHORTEST_RETRY_MILLIS, retryAfterMillis)));
    }

    /** Returns how long the last task of a job would wait, by estimates. */
    private long expectedWaitMillis(JobProgress progress, long nowMillis) {
        long capacity = 0;
        long free = 0;
        for (OwnedServer server : servers.values()) {
            if (server.usable()
                    && server.entry().cpuMillicores() >= progress.shape().cpuMillicores()
                    && server.entry().service().equals(progress.job().terms().service())) {
                capacity += server.entry().cpuMillicores();
                free += server.freeCpu();
            }
        }
        if (capacity == 0) {
            return JobProgress.NO_SERVER;
        }
        double aheadWork = 0;
        for (JobProgress other : queue.all()) {
            if (JobQueue.goesBefore(other, progress.priority(), nowMillis)) {
                aheadWork += waitingWork(other);
            }
        }
        double ownWork = waitingWork(progress) / 2;
        double freeNow = (double) free * progress.shape().estimateMillis();
        return (long) (Math.max(0, aheadWork + ownWork - freeNow) / capacity);
    }

    private static double waitingWork(JobProgress job) {
        return (double) job.pendingTasks()
                * job.shape().cpuMillicores()
                * job.shape().estimateMillis();
    }

    @Override
    public void cancel(CallerJobId id, String reason) {
        JobProgress progress = jobs.get(id);
        if (progress != null && !progress.over()) {
            giveUp(progress, reason);
            dispatch();
        }
    }

    private void giveUp(JobProgress progress, String reason) {
        if (progress.started()) {
            end(progress, JobOutcome.abandoned(reason));
        } else {
            end(progress, JobOutcome.refused(reason, SHORTEST_RETRY_MILLIS));
        }
    }

    /** Answers the caller and stops what still runs. The job is forgotten when nothing of it can run any more. */
    private void end(JobProgress progress, JobOutcome outcome) {
        long nowMillis = clock.millis();
        long waitedMillis = (progress.started() ? progress.firstStartMillis() : nowMillis) - progress.arrivalMillis();
        queue.remove(progress);
        progress.end(outcome);
        events.ended(
                progress.job(),
                outcome,
                load(),
                progress.expectedWaitMillis(),
                waitedMillis,
                nowMillis - progress.arrivalMillis());
        for (RunKey run : progress.runKeys()) {
            OwnedServer server = progress.serverOf(run);
            Run there = server.run(run);
            if (there != null) {
                server.stop(there);
            }
        }
        if (!progress.hasRuns()) {
            jobs.remove(progress.id(), progress);
        }
    }

    @Override
    public void release(String reason) {
        List<JobProgress> open = List.copyOf(jobs.values());
        servers.values().forEach(OwnedServer::drop);
        leaving.values().forEach(OwnedServer::drop);
        servers.clear();
        leaving.clear();
        reclaimMillis.clear();
        jobs.clear();
        for (JobProgress progress : open) {
            if (!progress.over()) {
                giveUp(progress, reason);
            }
        }
    }

    @Override
    public void tick() {
        long nowMillis = clock.millis();
        List.copyOf(servers.values()).forEach(server -> server.tick(nowMillis));
        List.copyOf(leaving.values()).forEach(server -> server.tick(nowMillis));
        forgetIdleLeaving();
        reclaim(nowMillis);
        endOverdue(nowMillis);
        stopHung(nowMillis);
        dispatch();
    }

    private void reclaim(long nowMillis) {
        for (Map.Entry<ServerId, Long> each : List.copyOf(reclaimMillis.entrySet())) {
            if (nowMillis >= each.getValue()) {
                reclaimMillis.remove(each.getKey());
                OwnedServer server = servers.get(each.getKey());
                if (server != null) {
                    server.claim(tokens.next());
                }
            }
        }
    }

    private void endOverdue(long nowMillis) {
        for (JobProgress progress : List.copyOf(jobs.values())) {
            if (progress.over()) {
                continue;
            }
            if (nowMillis >= progress.patienceEndMillis()) {
                giveUp(progress, "the caller's deadline has passed");
            } else if (!progress.started()
                    && nowMillis + progress.job().shortestMillis() > progress.usefulUntilMillis()) {
                refuse(progress, "waited too long for room", SHORTEST_RETRY_MILLIS);
            }
        }
    }

    private void stopHung(long nowMillis) {
        for (OwnedServer server : servers.values()) {
            for (Run run : server.runs()) {
                long elapsedMillis = nowMillis - run.orderedMillis;
                if (!run.beingStopped()
                        && run.percent < HUNG_PERCENT
                        && elapsedMillis > HUNG_FACTOR * run.expectedMillis + HUNG_MILLIS) {
                    server.stop(run);
                    if (server.health().failed(nowMillis)) {
                        events.serverChanged(server.entry().id(), "paused", "tasks stand still");
                    }
                }
            }
        }
    }

    /**
     * Gives free room to waiting tasks. Calls from within are done after the present pass. A full pool costs one look at each
     * server, however many jobs wait.
     */
    private void dispatch() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        do {
            dispatchAgain = false;
            if (queue.isEmpty()) {
                continue;
            }
            ServerChoice.Candidates candidates = choice.candidates(servers.values(), queue.leastCpu());
            if (!candidates.open().isEmpty()) {
                startWaiting(candidates, clock.millis());
            }
        } while (dispatchAgain);
        dispatching = false;
    }

    private void startWaiting(ServerChoice.Candidates candidates, long nowMillis) {
        int mostFreeCpu = candidates.mostFreeCpu();
        for (JobProgress progress : queue.ordered(nowMillis)) {
            if (progress.shape().cpuMillicores() <= mostFreeCpu && startTasks(progress, candidates, nowMillis)) {
                mostFreeCpu = candidates.mostFreeCpu();
            }
        }
    }

    /** Starts the tasks of a job that find room. Returns whether any did. */
    private boolean startTasks(JobProgress progress, ServerChoice.Candidates candidates, long nowMillis) {
        boolean any = false;
        while (progress.pendingTasks() > 0 && !progress.over()) {
            OwnedServer server = choice.choose(progress, candidates, nowMillis);
            if (server == null) {
                break;
            }
            any = true;
            RunKey key = progress.nextRun(server, nowMillis);
            long expectedMillis = (long) choice.expectedMillis(progress.shape(), server.entry());
            events.started(key, server.entry().id(), expectedMillis);
            server.start(
                    new Run(key, progress, nowMillis, expectedMillis),
                    progress.job().payload());
        }
        return any;
    }

    @Override
    public PoolLoad load() {
        long capacity = 0;
        long free = 0;
        long busy = 0;
        long runningWork = 0;
        for (OwnedServer server : servers.values()) {
            if (server.usable()) {
                capacity += server.entry().cpuMillicores();
                free += server.freeCpu();
                busy += server.usedCpu();
                runningWork += server.runningWork();
            }
        }
        double waiting = 0;
        long needed = 0;
        int unstarted = 0;
        for (JobProgress progress : queue.all()) {
            waiting += waitingWork(progress);
            needed += (long) progress.pendingTasks() * progress.shape().cpuMillicores();
            unstarted += progress.started() ? 0 : 1;
        }
        long runMillis = busy == 0 ? 0 : runningWork / busy;
        return new PoolLoad(capacity, free, (long) (waiting / 1000), unstarted, needed, runMillis);
    }

    @Override
    public boolean idle() {
        return jobs.isEmpty() && servers.values().stream().allMatch(OwnedServer::idle) && leaving.isEmpty();
    }

    @Override
    public boolean idle(ServerId server) {
        OwnedServer owned = servers.getOrDefault(server, leaving.get(server));
        return owned == null || owned.idle();
    }

    private final class ServerListener implements OwnedServer.Listener {
        @Override
        public void over(OwnedServer server, Run run, EndKind kind) {
            long runMillis = clock.millis() - run.orderedMillis;
            events.runEnded(run.key, server.entry().id(), kind, runMillis);
            JobProgress progress = run.job;
            switch (kind) {
                case DONE -> onDone(server, run, progress, runMillis);
                case FAILED -> onFailed(server, run, progress);
                default -> progress.runOver(run.key);
            }
            if (progress.over() && !progress.hasRuns()) {
                jobs.remove(progress.id(), progress);
            } else if (!progress.over() && progress.pendingTasks() > 0) {
                queue.add(progress);
            }
            dispatch();
        }

        private void onDone(OwnedServer server, Run run, JobProgress progress, long runMillis) {
            server.health().succeeded();
            speeds.record(server.entry(), progress.shape().estimateMillis(), runMillis);
            if (progress.taskDone(run.key) && !progress.over()) {
                end(progress, JobOutcome.completed());
            }
        }

        private void onFailed(OwnedServer server, Run run, JobProgress progress) {
            long nowMillis = clock.millis();
            // A task that has failed elsewhere too says nothing of the server.
            if (!progress.hasFailedBefore(run.key) && server.health().failed(nowMillis)) {
                events.serverChanged(server.entry().id(), "paused", "fails what it starts");
            }
            int failures = progress.taskFailed(run.key, server.entry().id());
            progress.runOver(run.key);
            if (!progress.over() && failures >= progress.job().terms().attempts()) {
                end(progress, JobOutcome.failed("task " + run.key.task().index() + " failed " + failures + " times"));
            }
        }

        @Override
        public void roomFreed(OwnedServer server) {
            dispatch();
        }

        @Override
        public void fenced(OwnedServer server) {
            for (Run run : server.abandonRuns()) {
                JobProgress progress = run.job;
                progress.runOver(run.key);
                if (!progress.over()) {
                    giveUp(progress, "another process has taken over a server of this job");
                }
                if (!progress.hasRuns()) {
                    jobs.remove(progress.id(), progress);
                }
            }
            if (servers.get(server.entry().id()) == server) {
                reclaimMillis.put(server.entry().id(), clock.millis() + RECLAIM_MILLIS);
            }
        }

        @Override
        public void reborn(OwnedServer server) {
            server.claim(tokens.next());
        }

        @Override
        public void changed(OwnedServer server, String state, String reason) {
            events.serverChanged(server.entry().id(), state, reason);
        }
    }
}
