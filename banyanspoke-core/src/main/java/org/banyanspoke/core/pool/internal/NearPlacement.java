package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolListener.NearWaitEnd;
import org.banyanspoke.core.pool.ServerDescriptor;

/**
 * Decides by expected completion whether a task waits for a server near its data although another server is free. Only
 * the task itself waits; other tasks use the free capacity meanwhile.
 */
final class NearPlacement {
    /**
     * Greatest part of the far run time in which the near run must be expected to end, as the end of the wait is known
     * only roughly.
     */
    private static final double MAX_NEAR_PART = 0.8;
    /** Callers' estimates are too low by up to 40%, so a wait may last this multiple of the expected one. */
    private static final double WAIT_TOLERANCE_FACTOR = 1.4;
    /** Time until the end of a run is known here. */
    private static final long WAIT_TOLERANCE_MILLIS = 10;

    private static final double RUN_TIME_MARGIN = ServerSelector.RUN_TIME_MARGIN;

    private final double farFactor;
    private final PoolListener listener;

    /**
     * @param farFactor factor on the run time of a task that runs far from its data
     * @param listener receives the begins and ends of waits
     */
    NearPlacement(double farFactor, PoolListener listener) {
        this.farFactor = farFactor;
        this.listener = listener;
    }

    /**
     * Choice of a task, as expected now.
     *
     * @param nearStartMillis time at which a near server is expected to have room
     * @param nearRunMillis run time there
     * @param farRunMillis shortest run time on a server that has room now
     * @param targetMillis time by which the task should end
     * @param expiryMillis time after which its end is of no use
     */
    record Choice(
            long nearStartMillis, double nearRunMillis, double farRunMillis, long targetMillis, long expiryMillis) {

        /**
         * Returns whether to wait. A wait must leave enough time for the far run, so that an expectation that is not met
         * costs the target only if the far run cannot meet it anyway.
         */
        boolean waits(long nowMillis) {
            if (nearStartMillis > latestNearStartMillis()) {
                return false;
            }
            if (isFarUseful(nowMillis) && nearStartMillis > latestFarStartMillis()) {
                return false;
            }
            if (!isFarInTime(nowMillis)) {
                return true;
            }
            return nearStartMillis <= latestFarStartInTimeMillis()
                    && nearStartMillis + nearRunMillis <= nowMillis + MAX_NEAR_PART * farRunMillis;
        }

        /**
         * Returns the time at which the wait ends if no near server has room by then: soon after the expected time, or
         * if only a near run can be in time, once that is too late as well.
         */
        long waitUntilMillis(long nowMillis) {
            long expectedMillis = nearStartMillis - nowMillis;
            long untilMillis = isFarInTime(nowMillis)
                    ? Math.min(
                            nowMillis + (long) (WAIT_TOLERANCE_FACTOR * expectedMillis) + WAIT_TOLERANCE_MILLIS,
                            latestFarStartInTimeMillis())
                    : latestNearStartMillis();
            return isFarUseful(nowMillis) ? Math.min(untilMillis, latestFarStartMillis()) : untilMillis;
        }

        private boolean isFarInTime(long nowMillis) {
            return nowMillis <= latestFarStartInTimeMillis();
        }

        private long latestFarStartInTimeMillis() {
            return targetMillis - (long) (RUN_TIME_MARGIN * farRunMillis);
        }

        private long latestNearStartMillis() {
            return targetMillis - (long) (RUN_TIME_MARGIN * nearRunMillis);
        }

        private boolean isFarUseful(long nowMillis) {
            return nowMillis <= latestFarStartMillis();
        }

        private long latestFarStartMillis() {
            return expiryMillis - (long) (RUN_TIME_MARGIN * farRunMillis);
        }
    }

    /** Returns whether a job's tasks are faster near their data. */
    boolean concerns(JobProgress job) {
        return farFactor > 1 && !job.requirements().rack().isEmpty();
    }

    /** Returns whether a server is near the data of a job. */
    static boolean isNear(JobProgress job, ServerDescriptor server) {
        return server.labels().contains(job.requirements().rack());
    }

    /** Returns the factor on the run time of a job's tasks far from their data. */
    double farFactor(JobProgress job) {
        return concerns(job) ? farFactor : 1;
    }

    /** Returns the factor on the run time of a job's tasks on a server. */
    double runTimeFactor(JobProgress job, ServerDescriptor server) {
        return concerns(job) && !isNear(job, server) ? farFactor : 1;
    }

    /** Records the start of a task; ends its wait if it has waited. */
    void onStarted(JobProgress job, ServerDescriptor server, long nowMillis) {
        NearWait wait = job.nearWait();
        if (wait == null || wait.openWaits() == 0) {
            return;
        }
        boolean near = isNear(job, server);
        if (near || job.pendingTasks() < wait.openWaits()) {
            wait.endOne();
            listener.onNearWaitEnded(job.id(), near ? NearWaitEnd.NEAR : NearWaitEnd.FAR, wait.waitedMillis(nowMillis));
        }
    }

    /** Ends the waits of a job that has ended. */
    void onJobEnded(JobProgress job, long nowMillis) {
        NearWait wait = job.nearWait();
        while (wait != null && wait.openWaits() > 0) {
            wait.endOne();
            listener.onNearWaitEnded(job.id(), NearWaitEnd.NOT_STARTED, wait.waitedMillis(nowMillis));
        }
    }

    /** Decisions of one pass over the queue. Expectations are computed once for each rack, when first needed. */
    final class Pass {
        private final Collection<OwnedServer> servers;
        private final ToDoubleFunction<ServerDescriptor> factors;
        private final Map<NearSet, NearRoom> rooms = new HashMap<>(0);
        private final List<JobProgress> skipped = new ArrayList<>(0);
        private JobProgress decidedJob;
        private int waitingTasks;

        private record NearSet(String service, String rack) {}

        /**
         * @param servers all servers of the pool
         * @param factors expected ratio of run time to estimate on a server
         */
        Pass(Collection<OwnedServer> servers, ToDoubleFunction<ServerDescriptor> factors) {
            this.servers = servers;
            this.factors = factors;
        }

        /** Records that no server has room for the next task of a job; it takes near capacity before later jobs. */
        void skip(JobProgress job) {
            if (concerns(job) && job != decidedJob) {
                skipped.add(job);
                hold(job, 0);
            }
        }

        /**
         * Returns whether the next task of a job waits for a near server, while no near one on which it would be in
         * time has room.
         *
         * @param farRunMillis shortest expected run time on a server that has room
         */
        boolean waits(JobProgress job, double farRunMillis, long nowMillis) {
            if (job != decidedJob) {
                decidedJob = job;
                waitingTasks = decide(job, farRunMillis, nowMillis);
                hold(job, waitingTasks);
            }
            return job.pendingTasks() <= waitingTasks;
        }

        private int decide(JobProgress job, double farRunMillis, long nowMillis) {
            NearWait wait = job.nearWait();
            if (wait != null && nowMillis >= wait.untilMillis()) {
                return 0;
            }
            long expiryMillis = Math.min(job.expiresAtMillis(), job.callerDeadlineMillis());
            long[] untilMillis = {nowMillis};
            int tasks = room(job, nowMillis).plan(job, job.pendingTasks(), nearRunMillis(job), slot -> {
                Choice choice = new Choice(
                        slot.startMillis(), slot.runMillis(), farRunMillis, job.estimatedTargetMillis(), expiryMillis);
                boolean waits = choice.waits(nowMillis);
                if (waits) {
                    untilMillis[0] = Math.max(untilMillis[0], choice.waitUntilMillis(nowMillis));
                }
                return waits;
            });
            if (tasks > 0 && wait == null) {
                job.setNearWait(new NearWait(nowMillis, untilMillis[0]));
            }
            return tasks;
        }

        private void hold(JobProgress job, int tasks) {
            NearWait wait = job.nearWait();
            if (wait == null) {
                return;
            }
            int begun = wait.hold(tasks);
            if (begun > 0) {
                listener.onNearWaitBegun(job.id(), begun, wait.untilMillis());
            }
        }

        private ToDoubleFunction<ServerDescriptor> nearRunMillis(JobProgress job) {
            return server -> factors.applyAsDouble(server) * job.requirements().estimateMillis();
        }

        /** Returns the near room that is left after the skipped jobs have had theirs. */
        private NearRoom room(JobProgress job, long nowMillis) {
            NearSet set = nearSet(job);
            NearRoom room = rooms.computeIfAbsent(set, key -> new NearRoom(nearServers(key), nowMillis));
            if (!skipped.isEmpty()) {
                skipped.removeIf(each -> {
                    boolean sameSet = nearSet(each).equals(set);
                    if (sameSet) {
                        room.plan(each, each.pendingTasks(), nearRunMillis(each), slot -> true);
                    }
                    return sameSet;
                });
            }
            return room;
        }

        private static NearSet nearSet(JobProgress job) {
            return new NearSet(
                    job.job().queuePolicy().service(), job.requirements().rack());
        }

        private List<OwnedServer> nearServers(NearSet set) {
            List<OwnedServer> near = new ArrayList<>();
            for (OwnedServer server : servers) {
                ServerDescriptor descriptor = server.descriptor();
                if (descriptor.service().equals(set.service())
                        && descriptor.labels().contains(set.rack())) {
                    near.add(server);
                }
            }
            return near;
        }
    }
}
