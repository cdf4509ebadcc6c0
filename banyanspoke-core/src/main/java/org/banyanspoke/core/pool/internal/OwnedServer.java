package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.core.pool.PoolLimits;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerEntry;
import org.banyanspoke.core.pool.ServerOrders;
import org.banyanspoke.core.pool.ServerOrders.EndKind;
import org.banyanspoke.core.pool.ServerOrders.Ended;
import org.banyanspoke.core.pool.ServerOrders.RenewReply;
import org.banyanspoke.core.pool.ServerOrders.Reply;
import org.banyanspoke.core.pool.ServerOrders.Running;
import org.banyanspoke.core.pool.ServerOrders.Status;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * One server that this process owns or is about to own. Room counts as free only when the server itself has said so, or when
 * the lease of all that may run there has certainly ended.
 */
final class OwnedServer {
    /** Told what happens on a server. */
    interface Listener {
        /** A run is over and its room is free. */
        void over(OwnedServer server, Run run, EndKind kind);

        /** The server takes work again or has freed room. */
        void roomFreed(OwnedServer server);

        /** The server obeys a higher token than this process has. */
        void fenced(OwnedServer server);

        /** The server has started again under its id and must be claimed anew, with a higher token. */
        void reborn(OwnedServer server);

        /** What is believed of the server has changed. */
        void changed(OwnedServer server, String state, String reason);
    }

    /** What is believed of a server. */
    enum State {
        /** The token has been sent; what runs there is not known. */
        CLAIMING,
        /** Answers; all that runs there is known. */
        USABLE,
        /** Does not answer. */
        SILENT,
        /** Obeys another owner. */
        FENCED
    }

    /** A server without runs that does not answer is asked this often; each question costs both sides. */
    private static final long SILENT_IDLE_PERIOD_MILLIS = 1_000;
    /** A server that does not answer and may hold runs is asked this often. */
    private static final long SILENT_BUSY_PERIOD_MILLIS = 100;
    /** Limit for an answer beyond the time that the server was told to wait. */
    private static final long RENEW_TIMEOUT_MILLIS = 300;
    /** An unanswered stop is repeated this often. */
    private static final long STOP_PERIOD_MILLIS = 150;

    private final ServerOrders orders;
    private final PoolLimits limits;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<RunKey, Run> runs = new HashMap<>();
    private final Map<RunKey, Long> strangers = new HashMap<>();
    private final ServerHealth health = new ServerHealth();
    private ServerEntry entry;
    private long token;
    private State state = State.CLAIMING;
    private boolean renewing;
    private boolean dropped;
    private long renewals;
    private long nextRenewalMillis;
    private long acknowledged;
    private long highestEnd;
    private long bornMillis;
    private long serverClockMillis;
    private long serverClockReadMillis;
    private long lastDeadlineSentMillis = Long.MIN_VALUE / 2;
    private int usedCpu;
    private long runningWork;
    private int usedMemory;
    private int usedGpus;

    OwnedServer(ServerEntry entry, ServerOrders orders, PoolLimits limits, MonotonicClock clock, Listener listener) {
        this.entry = entry;
        this.orders = orders;
        this.limits = limits;
        this.clock = clock;
        this.listener = listener;
    }

    ServerEntry entry() {
        return entry;
    }

    State state() {
        return state;
    }

    ServerHealth health() {
        return health;
    }

    int runCount() {
        return runs.size();
    }

    boolean idle() {
        return runs.isEmpty() && strangers.isEmpty();
    }

    int freeCpu() {
        return entry.cpuMillicores() - usedCpu;
    }

    int usedCpu() {
        return usedCpu;
    }

    /** Returns the expected work of all runs, from their starts, in thousandths of a core times milliseconds. */
    long runningWork() {
        return runningWork;
    }

    boolean usable() {
        return state == State.USABLE && !entry.draining() && strangers.isEmpty() && !dropped;
    }

    boolean fits(int cpu, int memory, int gpus) {
        return usedCpu + cpu <= entry.cpuMillicores()
                && usedMemory + memory <= entry.memoryMegabytes()
                && usedGpus + gpus <= entry.gpus();
    }

    /** Takes a newer description. A new life under the same id has nothing of the old one. */
    void update(ServerEntry newer) {
        boolean reborn = bornMillis != 0 && newer.bornMillis() > bornMillis;
        entry = newer;
        if (reborn) {
            onNewLife(newer.bornMillis());
        }
    }

    /** Makes the server obey a token and asks what runs there. */
    void claim(long newToken) {
        token = newToken;
        state = State.CLAIMING;
        // The owner before may have extended the lease until now.
        noteDeadline();
        nextRenewalMillis = clock.millis();
        renewIfDue(clock.millis());
    }

    /** Gives no more orders; replies that are under way are ignored. */
    void drop() {
        dropped = true;
    }

    /** Orders a start. The room must be free. */
    void start(Run run, String payload) {
        runs.put(run.key, run);
        usedCpu += run.cpuMillicores;
        runningWork += run.expectedWork();
        usedMemory += run.memoryMegabytes;
        usedGpus += run.gpus;
        noteDeadline();
        long tokenUsed = token;
        orders.start(
                entry,
                new ServerOrders.Start(run.key, payload, deadlineMillis(), tokenUsed, limits.orderTimeoutMillis()),
                reply -> onStartReply(run, tokenUsed, reply));
    }

    /** Stops a run; its room is free when the server says so. */
    void stop(Run run) {
        if (!run.beingStopped()) {
            run.state = Run.State.STOPPING;
            sendStop(run);
        }
    }

    Run run(RunKey key) {
        return runs.get(key);
    }

    Iterable<Run> runs() {
        return List.copyOf(runs.values());
    }

    /** Repeats what has not been answered and ends what the lease has ended. */
    void tick(long nowMillis) {
        if (state == State.FENCED || dropped) {
            return;
        }
        for (Run run : List.copyOf(runs.values())) {
            if (run.state == Run.State.STOPPING && nowMillis - run.lastOrderMillis >= STOP_PERIOD_MILLIS) {
                sendStop(run);
            }
        }
        strangers.forEach((key, lastStopMillis) -> {
            if (nowMillis - lastStopMillis >= STOP_PERIOD_MILLIS) {
                stopStranger(key, nowMillis);
            }
        });
        if (!idle() && nowMillis - lastDeadlineSentMillis >= limits.goneMillis()) {
            leaseEnded("no answer until the lease had ended");
        }
        renewIfDue(nowMillis);
    }

    private void sendStop(Run run) {
        run.lastOrderMillis = clock.millis();
        orders.stop(
                entry,
                new ServerOrders.Stop(run.key, token, limits.orderTimeoutMillis()),
                reply -> onStopReply(run, reply));
    }

    private void stopStranger(RunKey key, long nowMillis) {
        strangers.put(key, nowMillis);
        orders.stop(entry, new ServerOrders.Stop(key, token, limits.orderTimeoutMillis()), reply -> scheduleRenewal());
    }

    private void onStartReply(Run run, long tokenUsed, Reply reply) {
        if (runs.get(run.key) != run || dropped) {
            return;
        }
        noteClock(reply.clockMillis());
        switch (reply.status()) {
            case OK -> {
                if (run.state == Run.State.STARTING) {
                    run.state = Run.State.RUNNING;
                    run.settledByRenewal = renewals + 1;
                }
                scheduleRenewal();
            }
            case FENCED -> {
                if (tokenUsed == token) {
                    fence();
                } else {
                    over(run, EndKind.STOPPED);
                }
            }
            case UNKNOWN -> stop(run);
            default -> {
                // A stop that is under way finds nothing; the start was refused for good.
                onRefusedStart(reply.status());
                over(run, EndKind.STOPPED);
            }
        }
    }

    private void onRefusedStart(Status status) {
        switch (status) {
            case NOT_SENT -> becomeSilent("not connected");
            case UNHEALTHY, REJECTED, NO_ROOM -> {
                if (health.failed(clock.millis())) {
                    listener.changed(this, "paused", "refuses starts: " + status);
                }
            }
            default -> {
                // The next start has a newer clock or a higher run number.
            }
        }
    }

    private void onStopReply(Run run, Reply reply) {
        if (runs.get(run.key) != run || dropped) {
            return;
        }
        noteClock(reply.clockMillis());
        if (reply.status() == Status.OK) {
            run.state = Run.State.STOPPED;
            run.settledByRenewal = renewals + 1;
            scheduleRenewal();
        } else if (reply.status() == Status.FENCED) {
            fence();
        }
    }

    private void scheduleRenewal() {
        nextRenewalMillis = clock.millis();
        renewIfDue(nextRenewalMillis);
    }

    private void renewIfDue(long nowMillis) {
        if (renewing || dropped || state == State.FENCED || nowMillis < nextRenewalMillis) {
            return;
        }
        boolean known = state == State.USABLE;
        boolean wanted = !known || !idle() || acknowledged < highestEnd;
        if (!wanted) {
            nextRenewalMillis = Long.MAX_VALUE;
            return;
        }
        // A lease is extended only while the server answers, so that silence ends what runs there within one lease.
        boolean extend = known && !runs.isEmpty();
        long waitMillis = extend && !anySettling() ? limits.renewWaitMillis() : 0;
        renewing = true;
        renewals++;
        long number = renewals;
        long deadlineMillis = extend ? deadlineMillis() : 0;
        if (extend) {
            noteDeadline();
        }
        acknowledged = highestEnd;
        long tokenUsed = token;
        orders.renew(
                entry,
                new ServerOrders.Renew(
                        deadlineMillis, tokenUsed, acknowledged, waitMillis, waitMillis + RENEW_TIMEOUT_MILLIS),
                reply -> onRenewReply(number, tokenUsed, reply));
    }

    private boolean anySettling() {
        for (Run run : runs.values()) {
            if (run.state == Run.State.STOPPED) {
                return true;
            }
        }
        return !strangers.isEmpty();
    }

    private void onRenewReply(long number, long tokenUsed, RenewReply reply) {
        renewing = false;
        if (dropped) {
            return;
        }
        if (tokenUsed != token) {
            nextRenewalMillis = clock.millis();
            renewIfDue(nextRenewalMillis);
            return;
        }
        switch (reply.status()) {
            case OK -> onLists(number, reply);
            case FENCED -> fence();
            default -> {
                becomeSilent(reply.status().name());
                nextRenewalMillis = clock.millis() + (idle() ? SILENT_IDLE_PERIOD_MILLIS : SILENT_BUSY_PERIOD_MILLIS);
            }
        }
    }

    private void onLists(long number, RenewReply reply) {
        if (bornMillis != 0 && reply.bornMillis() > bornMillis) {
            onNewLife(reply.bornMillis());
            return;
        }
        if (reply.bornMillis() != 0) {
            bornMillis = reply.bornMillis();
        }
        noteClock(reply.clockMillis());
        State before = state;
        for (Ended end : reply.ended()) {
            onEnd(end);
        }
        Set<RunKey> listed = new HashSet<>();
        for (Running row : reply.running()) {
            listed.add(row.run());
            onRunning(row);
        }
        strangers.keySet().retainAll(listed);
        for (Run run : List.copyOf(runs.values())) {
            if (!listed.contains(run.key) && run.settledByRenewal <= number) {
                over(run, run.state == Run.State.STOPPED ? EndKind.STOPPED : EndKind.LAPSED);
            }
        }
        state = State.USABLE;
        if (before != State.USABLE) {
            listener.changed(this, "usable", before == State.CLAIMING ? "claimed" : "answers again");
        }
        nextRenewalMillis = clock.millis();
        if (usable()) {
            listener.roomFreed(this);
        }
        renewIfDue(nextRenewalMillis);
    }

    private void onEnd(Ended end) {
        if (end.number() <= highestEnd) {
            return;
        }
        highestEnd = end.number();
        Run run = runs.get(end.run());
        if (run != null) {
            over(run, end.kind());
        }
    }

    private void onRunning(Running row) {
        Run run = runs.get(row.run());
        if (run == null) {
            if (!strangers.containsKey(row.run())) {
                stopStranger(row.run(), clock.millis());
            }
            return;
        }
        run.percent = row.percent();
        if (run.state == Run.State.STARTING) {
            run.state = Run.State.RUNNING;
        }
    }

    /**
     * The server has started again under the same id: nothing of before is there, and it has seen no token. A start that reached it
     * before this host knew may run there, so each run is over only when its stop is answered.
     */
    private void onNewLife(long newBornMillis) {
        bornMillis = newBornMillis;
        acknowledged = 0;
        highestEnd = 0;
        strangers.clear();
        listener.changed(this, "claiming", "has started again");
        // Orders of the old life that arrive late must not be obeyed, so the new life gets a higher token.
        listener.reborn(this);
        runs().forEach(this::stop);
    }

    private void leaseEnded(String reason) {
        becomeSilent(reason);
        strangers.clear();
        for (Run run : List.copyOf(runs.values())) {
            over(run, EndKind.LAPSED);
        }
    }

    private void fence() {
        if (state == State.FENCED) {
            return;
        }
        state = State.FENCED;
        listener.changed(this, "fenced", "obeys a higher token than " + token);
        listener.fenced(this);
    }

    private void becomeSilent(String reason) {
        if (state == State.USABLE) {
            state = State.SILENT;
            nextRenewalMillis = clock.millis();
            listener.changed(this, "silent", reason);
        }
    }

    private void over(Run run, EndKind kind) {
        runs.remove(run.key);
        usedCpu -= run.cpuMillicores;
        runningWork -= run.expectedWork();
        usedMemory -= run.memoryMegabytes;
        usedGpus -= run.gpus;
        listener.over(this, run, kind);
    }

    /** Ends all runs of a server that another process owns: its owner stops them. */
    List<Run> abandonRuns() {
        List<Run> left = new ArrayList<>(runs.values());
        runs.clear();
        usedCpu = 0;
        runningWork = 0;
        usedMemory = 0;
        usedGpus = 0;
        return left;
    }

    private void noteDeadline() {
        lastDeadlineSentMillis = clock.millis();
    }

    private void noteClock(long clockMillis) {
        if (clockMillis > 0) {
            serverClockMillis = clockMillis;
            serverClockReadMillis = clock.millis();
        }
    }

    private long deadlineMillis() {
        return serverClockMillis + (clock.millis() - serverClockReadMillis) + limits.leaseMillis();
    }
}
