package org.banyanspoke.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Tracks which hosts are alive and decides when to exchange states with each of them. The exchange period depends on
 * how soon the failure of the other host must be detected. Not thread safe.
 */
public final class HostFailureDetector {
    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Retry period for hosts that are not known to be alive. */
    private static final long SILENT_RETRY_MILLIS = 1_000;
    /** An exchange of states ends within this time. */
    private static final long EXCHANGE_MILLIS = 400;
    /** Checks for silent hosts follow each other much faster, unless this process was paused or slow. */
    private static final long PAUSE_THRESHOLD_MILLIS = 200;
    /** A pool is short of capacity if less than one part in this many is free; jobs may then go to other zones. */
    private static final int LOW_CAPACITY_DIVISOR = 4;

    private final MonotonicClock clock;
    private final Supplier<Set<HostId>> hostsWithJobsHere;
    private final Map<HostId, MonitoredHost> hosts = new HashMap<>();
    private final Map<HostId, Long> lastRequestMillis = new HashMap<>();
    private long lastCheckMillis = NEVER;

    /** How closely a host is monitored, from the shortest silence timeout to the longest. */
    private enum MonitoringLevel {
        /**
         * This zone's dispatcher, hosts with jobs here, candidates to replace a failed dispatcher, and hosts that may
         * get jobs.
         */
        CRITICAL(200, 700),
        /** A dispatcher of another zone, while the dispatcher of this zone has free capacity. */
        STANDBY(1_000, 2_500),
        /** A non-dispatching host of this zone, which may have to replace the dispatcher. */
        SAME_ZONE(3_000, 7_500),
        /** A non-dispatching host of another zone; it announces itself when it becomes dispatcher. */
        OTHER_ZONE(10_000, 25_000);

        private final long exchangePeriodMillis;
        /** Allows for two failed exchanges and the duration of a third. */
        private final long silenceTimeoutMillis;

        MonitoringLevel(long exchangePeriodMillis, long silenceTimeoutMillis) {
            this.exchangePeriodMillis = exchangePeriodMillis;
            this.silenceTimeoutMillis = silenceTimeoutMillis;
        }
    }

    private static final class MonitoredHost {
        private HostState state;
        private long lastHeardMillis;
        private long silenceDeadlineMillis;
        /** Whether the deadline has been extended since the last exchange. */
        private boolean extended;

        private MonitoringLevel level = MonitoringLevel.CRITICAL;

        private void recordExchange(long nowMillis) {
            lastHeardMillis = nowMillis;
            silenceDeadlineMillis = nowMillis + level.silenceTimeoutMillis;
            extended = false;
        }

        /**
         * Extends the deadline once between two exchanges, so that a process that stays slow still detects silent hosts.
         */
        private void extendDeadline(long millis) {
            if (!extended) {
                extended = true;
                silenceDeadlineMillis = Math.max(silenceDeadlineMillis, millis);
            }
        }

        /**
         * Changes the monitoring level. A shorter silence timeout counts from now, which leaves time for an exchange,
         * but never extends the current deadline.
         */
        private void setLevel(MonitoringLevel newLevel, long nowMillis) {
            if (newLevel.compareTo(level) < 0) {
                silenceDeadlineMillis = Math.min(silenceDeadlineMillis, nowMillis + newLevel.silenceTimeoutMillis);
            } else if (newLevel != level) {
                silenceDeadlineMillis = lastHeardMillis + newLevel.silenceTimeoutMillis;
            }
            level = newLevel;
        }
    }

    /**
     * @param hostsWithJobsHere hosts that sent this one jobs still in progress; such a job must end soon after its host
     *     fails
     */
    public HostFailureDetector(MonotonicClock clock, Supplier<Set<HostId>> hostsWithJobsHere) {
        this.clock = clock;
        this.hostsWithJobsHere = hostsWithJobsHere;
    }

    /** Records the state reported by a host. Returns whether the host was not known to be alive. */
    public boolean recordState(HostState state) {
        MonitoredHost existing = hosts.get(state.host());
        MonitoredHost monitored = existing == null ? new MonitoredHost() : existing;
        monitored.state = state;
        monitored.recordExchange(clock.millis());
        hosts.put(state.host(), monitored);
        return existing == null;
    }

    /** Returns whether a host is alive, that is, has been heard within its silence timeout. */
    public boolean isAlive(HostId host) {
        return hosts.containsKey(host);
    }

    /** Returns the latest states of the hosts that are alive. */
    public Collection<HostState> states() {
        List<HostState> states = new ArrayList<>();
        hosts.values().forEach(each -> states.add(each.state));
        return states;
    }

    /**
     * Updates the monitoring levels and removes the hosts that have exceeded their silence timeout.
     *
     * @param own state of this host
     * @return how long each removed host has been silent, in milliseconds
     */
    public Map<HostId, Long> removeSilent(HostState own) {
        long nowMillis = clock.millis();
        allowForPause(nowMillis);
        boolean shortOfCapacity = isOwnZoneShortOfCapacity(own);
        boolean withoutDispatcher = !own.dispatching() && dispatcherOf(own) == null;
        Set<HostId> jobSenders = hostsWithJobsHere.get();
        Map<HostId, Long> silent = new HashMap<>();
        hosts.forEach((host, monitored) -> {
            boolean isJobSender = jobSenders.contains(host);
            MonitoringLevel level = isJobSender
                    ? MonitoringLevel.CRITICAL
                    : levelFor(monitored.state, own, shortOfCapacity, withoutDispatcher);
            monitored.setLevel(level, nowMillis);
            if (nowMillis > monitored.silenceDeadlineMillis) {
                silent.put(host, nowMillis - monitored.lastHeardMillis);
            }
        });
        hosts.keySet().removeAll(silent.keySet());
        return silent;
    }

    /**
     * Leaves time for an exchange if this process did not run for a while: what the others have sent meanwhile has not
     * been read yet.
     */
    private void allowForPause(long nowMillis) {
        if (lastCheckMillis != NEVER && nowMillis - lastCheckMillis >= PAUSE_THRESHOLD_MILLIS) {
            hosts.values().forEach(each -> each.extendDeadline(nowMillis + EXCHANGE_MILLIS));
        }
        lastCheckMillis = nowMillis;
    }

    /** Returns whether a state exchange with a host is due. One exchange updates both sides. */
    public boolean isExchangeDue(HostId host) {
        MonitoredHost monitored = hosts.get(host);
        long lastHeardMillis = monitored == null ? NEVER : monitored.lastHeardMillis;
        long lastContactMillis = Math.max(lastRequestMillis.getOrDefault(host, NEVER), lastHeardMillis);
        long exchangePeriodMillis = monitored == null ? SILENT_RETRY_MILLIS : monitored.level.exchangePeriodMillis;
        return clock.millis() - lastContactMillis >= exchangePeriodMillis;
    }

    /** Records that a state exchange with a host is being requested now. */
    public void recordRequest(HostId host) {
        lastRequestMillis.put(host, clock.millis());
    }

    private static MonitoringLevel levelFor(
            HostState other, HostState own, boolean shortOfCapacity, boolean withoutDispatcher) {
        boolean sameZone = other.zone().equals(own.zone());
        if (sameZone) {
            return other.dispatching() || own.dispatching() || withoutDispatcher
                    ? MonitoringLevel.CRITICAL
                    : MonitoringLevel.SAME_ZONE;
        }
        if (other.dispatching()) {
            return shortOfCapacity ? MonitoringLevel.CRITICAL : MonitoringLevel.STANDBY;
        }
        return MonitoringLevel.OTHER_ZONE;
    }

    /** Returns whether jobs may soon go to other zones: this zone's dispatcher is unknown or short of capacity. */
    private boolean isOwnZoneShortOfCapacity(HostState own) {
        HostState dispatcher = own.dispatching() ? own : dispatcherOf(own);
        return dispatcher == null
                || dispatcher.load().queuedMillicores() > 0
                || dispatcher.load().freeMillicores() * LOW_CAPACITY_DIVISOR
                        < dispatcher.load().capacityMillicores()
                || dispatcher.load().capacityMillicores() == 0
                || isFragmented(dispatcher.load());
    }

    /** Returns whether few tasks like the running ones fit, although the sum of free capacity may be large. */
    private static boolean isFragmented(PoolLoad load) {
        int size = load.meanTaskMillicores();
        return size > 0 && load.freeSlots(size) * LOW_CAPACITY_DIVISOR < load.totalSlots(size);
    }

    private HostState dispatcherOf(HostState own) {
        for (MonitoredHost each : hosts.values()) {
            if (each.state.dispatching() && each.state.zone().equals(own.zone())) {
                return each.state;
            }
        }
        return null;
    }
}
