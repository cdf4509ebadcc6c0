package org.banyanspoke.core.pool.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.core.pool.PoolSettings;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.RenewReply;
import org.banyanspoke.core.pool.ServerCommands.Reply;
import org.banyanspoke.core.pool.ServerCommands.RunEnd;
import org.banyanspoke.core.pool.ServerCommands.RunProgress;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Backend server that this process owns or is claiming. Capacity counts as free only once the server has confirmed it,
 * or once the lease of all runs that may be there has certainly expired.
 */
final class OwnedServer {
    /** State of a server as known to this process. */
    enum State {
        /** The token has been sent; the runs on the server are not known yet. */
        CLAIMING,
        /** The server responds, and all its runs are known. */
        USABLE,
        /** The server does not respond. */
        SILENT,
        /** The server has accepted the token of another owner. */
        FENCED
    }

    /** Timeout for the reply to a renewal, in addition to the wait granted to the server. */
    private static final long RENEW_TIMEOUT_MILLIS = 300;
    /** Wait granted to a renewal without extension; the lease is extended once there is contact with all callers. */
    private static final long NO_CONTACT_WAIT_MILLIS = 50;
    /** Retry period for an unconfirmed stop. */
    private static final long STOP_RETRY_MILLIS = 150;

    private final ServerCommands commands;
    private final PoolSettings settings;
    private final MonotonicClock clock;
    private final ServerLease lease;
    private final OwnedServerListener listener;
    private final ServerRuns runs = new ServerRuns();
    private final Map<RunKey, Long> orphanRuns = new HashMap<>();
    private final ServerCircuitBreaker circuitBreaker = new ServerCircuitBreaker();
    private final RenewalSchedule renewals;
    private ServerDescriptor descriptor;
    private long token;
    private State state = State.CLAIMING;
    private boolean closed;
    private long acknowledged;
    private long highestEndNumber;
    private long startTimeMillis;

    OwnedServer(
            ServerDescriptor descriptor,
            ServerCommands commands,
            PoolSettings settings,
            MonotonicClock clock,
            ServerLease lease,
            OwnedServerListener listener) {
        this.descriptor = descriptor;
        this.commands = commands;
        this.settings = settings;
        this.clock = clock;
        this.lease = lease;
        this.listener = listener;
        this.renewals = new RenewalSchedule(descriptor.id());
    }

    ServerDescriptor descriptor() {
        return descriptor;
    }

    State state() {
        return state;
    }

    ServerCircuitBreaker circuitBreaker() {
        return circuitBreaker;
    }

    int runCount() {
        return runs.size();
    }

    boolean isIdle() {
        return runs.isEmpty() && orphanRuns.isEmpty();
    }

    int freeCpu() {
        return descriptor.cpuMillicores() - runs.cpuMillicores();
    }

    int usedCpu() {
        return runs.cpuMillicores();
    }

    /** Returns the total expected work of all runs from start to end, in millicore-milliseconds. */
    long runningWork() {
        return runs.expectedWork();
    }

    /** Returns the expected free capacity over time. */
    RoomTimeline timeline(long nowMillis) {
        return runs.timeline(descriptor, nowMillis);
    }

    boolean isUsable() {
        return state == State.USABLE
                && hasCurrentDescriptor()
                && !descriptor.draining()
                && orphanRuns.isEmpty()
                && !closed;
    }

    /**
     * Returns whether the descriptor is of the current start of the server. After a restart, the labels and the capacity
     * of the previous descriptor may no longer apply.
     */
    private boolean hasCurrentDescriptor() {
        return descriptor.startTimeMillis() == 0 || descriptor.startTimeMillis() >= startTimeMillis;
    }

    /** Returns whether a task fits into the free capacity. */
    boolean fits(TaskRequirements requirements) {
        return runs.leaveRoomFor(requirements, descriptor);
    }

    /** Replaces the descriptor. A later start time means that the server restarted and lost its state. */
    void updateDescriptor(ServerDescriptor newDescriptor) {
        boolean restarted = startTimeMillis != 0 && newDescriptor.startTimeMillis() > startTimeMillis;
        boolean wasOutdated = !hasCurrentDescriptor();
        descriptor = newDescriptor;
        if (restarted) {
            onServerRestarted(newDescriptor.startTimeMillis());
        } else if (state == State.USABLE && wasOutdated && hasCurrentDescriptor()) {
            listener.stateChanged(this, "usable", "descriptor of its current start read");
        }
    }

    /** Claims the server with a fencing token and requests the list of its runs. */
    void claim(long newToken) {
        token = newToken;
        state = State.CLAIMING;
        circuitBreaker.recordClaim();
        // The previous owner may have extended the lease until now.
        lease.recordDeadlineSent();
        scheduleRenewal();
    }

    /** Stops sending commands; replies that are still outstanding are ignored. */
    void close() {
        closed = true;
    }

    /** Sends a start command. The server must have enough free capacity. */
    void start(Run run, String payload) {
        runs.add(run);
        lease.recordDeadlineSent();
        long tokenUsed = token;
        commands.start(
                descriptor,
                new ServerCommands.StartCommand(
                        run.key,
                        payload,
                        lease.deadlineMillis(lease.maxMillis(run)),
                        tokenUsed,
                        startTimeMillis,
                        settings.commandTimeoutMillis()),
                reply -> onStartReply(run, tokenUsed, reply));
    }

    /** Stops a run. Its capacity stays reserved until the server confirms the end. */
    void stop(Run run) {
        if (!run.isStopping()) {
            run.state = Run.State.STOPPING;
            sendStop(run);
        }
    }

    Run run(RunKey key) {
        return runs.get(key);
    }

    List<Run> runs() {
        return runs.list();
    }

    /** Retries unconfirmed commands and ends the runs whose lease has expired. */
    void tick(long nowMillis) {
        if (state == State.FENCED || closed) {
            return;
        }
        for (Run run : runs.list()) {
            if (run.state == Run.State.STOPPING && nowMillis - run.lastCommandMillis >= STOP_RETRY_MILLIS) {
                sendStop(run);
            }
        }
        orphanRuns.forEach((key, lastStopMillis) -> {
            if (nowMillis - lastStopMillis >= STOP_RETRY_MILLIS) {
                stopOrphanRun(key, nowMillis);
            }
        });
        if (!isIdle() && lease.hasExpired()) {
            onLeaseExpired("no reply before the lease expired");
        }
        renewIfDue(nowMillis);
    }

    private void sendStop(Run run) {
        run.lastCommandMillis = clock.millis();
        long tokenUsed = token;
        commands.stop(
                descriptor,
                new ServerCommands.StopCommand(run.key, tokenUsed, settings.commandTimeoutMillis()),
                reply -> onStopReply(run, tokenUsed, reply));
    }

    private void stopOrphanRun(RunKey key, long nowMillis) {
        orphanRuns.put(key, nowMillis);
        commands.stop(
                descriptor,
                new ServerCommands.StopCommand(key, token, settings.commandTimeoutMillis()),
                reply -> scheduleRenewal());
    }

    private void onStartReply(Run run, long tokenUsed, Reply reply) {
        if (runs.get(run.key) != run || closed) {
            return;
        }
        recordServerClock(tokenUsed, reply);
        switch (reply.status()) {
            case OK -> {
                if (run.state == Run.State.STARTING) {
                    run.state = Run.State.RUNNING;
                    run.firstConclusiveRenewal = renewals.nextNumber();
                }
                scheduleRenewal();
            }
            case FENCED -> {
                if (tokenUsed == token) {
                    markFenced();
                } else {
                    endRun(run, EndKind.STOPPED);
                }
            }
            case UNKNOWN -> stop(run);
            default -> {
                // The start was refused and cannot take effect later, so a stop in flight has nothing to stop.
                onRefusedStart(tokenUsed, reply.status());
                endRun(run, EndKind.STOPPED);
                listener.startRefused(this, run, reply.status());
            }
        }
    }

    private void onRefusedStart(long tokenUsed, Status status) {
        switch (status) {
            case NOT_SENT -> markSilent("not connected");
            case RESTARTED -> {
                // With a newer token the restart is already known.
                if (tokenUsed == token) {
                    markSilent("restarted");
                    // The reply to a renewal has the new start time.
                    renewIfDue(clock.millis());
                }
            }
            case UNHEALTHY, REJECTED, NO_ROOM -> {
                if (circuitBreaker.recordFailure(clock.millis())) {
                    listener.stateChanged(this, "paused", "start refused: " + status);
                }
            }
            default -> {
                // Needs no action: the next start uses a newer server clock or a higher run number.
            }
        }
    }

    private void onStopReply(Run run, long tokenUsed, Reply reply) {
        if (runs.get(run.key) != run || closed) {
            return;
        }
        recordServerClock(tokenUsed, reply);
        if (reply.status() == Status.OK) {
            run.state = Run.State.STOPPED;
            run.firstConclusiveRenewal = renewals.nextNumber();
            scheduleRenewal();
        } else if (reply.status() == Status.FENCED) {
            markFenced();
        }
    }

    /** A command from before the last claim may have been executed before a restart, which also restarts the clock. */
    private void recordServerClock(long tokenUsed, Reply reply) {
        if (tokenUsed == token) {
            lease.serverClock().record(reply.clockMillis());
        }
    }

    private void scheduleRenewal() {
        renewals.scheduleAt(clock.millis());
        renewIfDue(clock.millis());
    }

    private void renewIfDue(long nowMillis) {
        if (closed || state == State.FENCED || !renewals.isDue(nowMillis)) {
            return;
        }
        if (isRenewalNeeded(nowMillis)) {
            renew(nowMillis);
        } else {
            renewals.scheduleForIdleServer();
        }
    }

    private boolean isRenewalNeeded(long nowMillis) {
        return state != State.USABLE
                || !isIdle()
                || acknowledged < highestEndNumber
                || renewals.isDueForIdleServer(nowMillis);
    }

    private void renew(long nowMillis) {
        boolean responding = state == State.USABLE;
        // The lease is extended only while the server responds, so the runs of a silent server end within one lease.
        long leaseMillis = lease.maxMillis(runs.list());
        boolean extend = responding && !runs.isEmpty() && leaseMillis > 0;
        long waitMillis = responding && !runs.isEmpty() && !awaitsStoppedRuns() ? renewWaitMillis(extend) : 0;
        long renewalNumber = renewals.begin(nowMillis);
        long deadlineMillis = extend ? lease.deadlineMillis(leaseMillis) : 0;
        if (extend) {
            lease.recordDeadlineSent();
        }
        acknowledged = highestEndNumber;
        long tokenUsed = token;
        commands.renew(
                descriptor,
                new ServerCommands.RenewCommand(
                        deadlineMillis, tokenUsed, acknowledged, waitMillis, waitMillis + RENEW_TIMEOUT_MILLIS),
                reply -> onRenewReply(renewalNumber, tokenUsed, reply));
    }

    private long renewWaitMillis(boolean extend) {
        return extend ? settings.renewWaitMillis() : Math.min(settings.renewWaitMillis(), NO_CONTACT_WAIT_MILLIS);
    }

    private boolean awaitsStoppedRuns() {
        for (Run run : runs.list()) {
            if (run.state == Run.State.STOPPED) {
                return true;
            }
        }
        return !orphanRuns.isEmpty();
    }

    private void onRenewReply(long renewalNumber, long tokenUsed, RenewReply reply) {
        renewals.end();
        if (closed) {
            return;
        }
        if (tokenUsed != token) {
            scheduleRenewal();
            return;
        }
        switch (reply.status()) {
            case OK -> onRenewed(renewalNumber, reply);
            case FENCED -> markFenced();
            default -> {
                markSilent(reply.status().name());
                renewals.scheduleRetry(clock.millis(), isIdle());
            }
        }
    }

    private void onRenewed(long renewalNumber, RenewReply reply) {
        if (startTimeMillis != 0 && reply.startTimeMillis() > startTimeMillis) {
            onServerRestarted(reply.startTimeMillis());
            return;
        }
        if (reply.startTimeMillis() != 0) {
            startTimeMillis = reply.startTimeMillis();
        }
        lease.serverClock().record(reply.clockMillis());
        State previousState = state;
        for (RunEnd end : reply.ended()) {
            onEnd(end);
        }
        Set<RunKey> listed = new HashSet<>();
        for (RunProgress progress : reply.running()) {
            listed.add(progress.run());
            onRunning(progress);
        }
        orphanRuns.keySet().retainAll(listed);
        for (Run run : runs.list()) {
            if (!listed.contains(run.key) && run.firstConclusiveRenewal <= renewalNumber) {
                endRun(run, run.state == Run.State.STOPPED ? EndKind.STOPPED : EndKind.LAPSED);
            }
        }
        state = State.USABLE;
        if (previousState != State.USABLE && !hasCurrentDescriptor()) {
            listener.stateChanged(this, "outdated", "the registry has the descriptor of an earlier start");
        } else if (previousState != State.USABLE) {
            listener.stateChanged(this, "usable", previousState == State.CLAIMING ? "claimed" : "responding again");
        }
        renewals.scheduleAt(clock.millis());
        if (isUsable()) {
            listener.capacityFreed(this);
        }
        renewIfDue(clock.millis());
    }

    private void onEnd(RunEnd end) {
        if (end.number() <= highestEndNumber) {
            return;
        }
        highestEndNumber = end.number();
        Run run = runs.get(end.run());
        if (run != null) {
            endRun(run, end.kind());
        }
    }

    private void onRunning(RunProgress progress) {
        Run run = runs.get(progress.run());
        if (run == null) {
            if (!orphanRuns.containsKey(progress.run())) {
                stopOrphanRun(progress.run(), clock.millis());
            }
            return;
        }
        run.recordReport(progress.percent(), clock.millis());
        if (run.state == Run.State.STARTING) {
            run.state = Run.State.RUNNING;
        }
    }

    /**
     * Handles a restart under the same id: the server has lost its earlier runs and its token. A start command that
     * arrived after the restart, but before this host detected it, may be running, so each run ends only once its stop
     * is confirmed.
     */
    private void onServerRestarted(long newStartTimeMillis) {
        startTimeMillis = newStartTimeMillis;
        lease.serverClock().reset();
        acknowledged = 0;
        highestEndNumber = 0;
        orphanRuns.clear();
        listener.stateChanged(this, "claiming", "server restarted");
        // A higher token makes the restarted server reject late commands that were sent before the restart.
        listener.restarted(this);
        runs().forEach(this::stop);
    }

    private void onLeaseExpired(String reason) {
        markSilent(reason);
        orphanRuns.clear();
        for (Run run : runs.list()) {
            endRun(run, EndKind.LAPSED);
        }
    }

    private void markFenced() {
        if (state == State.FENCED) {
            return;
        }
        state = State.FENCED;
        listener.stateChanged(this, "fenced", "holds a higher fencing token than " + token);
        listener.fenced(this);
    }

    private void markSilent(String reason) {
        if (state == State.USABLE) {
            state = State.SILENT;
            renewals.scheduleAt(clock.millis());
            listener.stateChanged(this, "silent", reason);
        }
    }

    private void endRun(Run run, EndKind kind) {
        runs.remove(run);
        listener.runEnded(this, run, kind);
    }

    /** Removes and returns all runs of a server that another process owns; the new owner stops them. */
    List<Run> abandonRuns() {
        return runs.removeAll();
    }
}
