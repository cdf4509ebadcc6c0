package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.EvacuationRecords;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.ZoneEvacuation;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.SiteTopics;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** Holds which zones operators have taken out of use, and notifies a listener of the state of this host's zone. */
final class EvacuationWatch implements TopicFollower.Listener {
    /** Receives the state of this host's zone. */
    interface Listener {
        /**
         * Called after each read with changes, and after the first read.
         *
         * @param requested whether an evacuation is requested
         * @param offset position of the newest record of the zone in the log
         * @param absentAtMillis time of the previous read; {@link ZoneEvacuation#NEVER} if there was none
         */
        void onRead(boolean requested, long offset, long absentAtMillis);
    }

    /** By this time each live host of another zone has reported its state at least twice. */
    private static final long UNKNOWN_ZONE_MILLIS = 25_000;
    /** Bounds the memory for the keys of invalid records. */
    private static final int MAX_LOGGED_KEYS = 1_000;

    private static final EventLog LOG = EventLog.of(EvacuationWatch.class);

    private final ZoneId ownZone;
    private final MonotonicClock clock;
    private final Listener listener;
    private final EvacuationRecords records = new EvacuationRecords();
    private final Set<String> loggedKeys = new HashSet<>();
    /** Zones whose names are still to be checked, with the times from which on that is done. */
    private final Map<ZoneId, Long> checkAtMillis = new HashMap<>();

    private boolean read;
    private long lastReadMillis = ZoneEvacuation.NEVER;

    /**
     * @param clock a clock that goes on while the machine is suspended
     */
    EvacuationWatch(ZoneId ownZone, MonotonicClock clock, Listener listener) {
        this.ownZone = ownZone;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether the records have been read once. */
    boolean hasRead() {
        return read;
    }

    /** Returns whether an evacuation of this host's zone is requested. */
    boolean isOwnZoneEvacuated() {
        return records.isRequested(ownZone);
    }

    /** Returns whether there is a dispatcher and every zone with a dispatcher is evacuated. */
    boolean coverAllDispatchers(Collection<HostState> hosts) {
        return records.coverAllDispatchers(hosts);
    }

    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        Set<ZoneId> listed = new HashSet<>();
        for (StoreClient.Entry entry : entries) {
            apply(entry).ifPresent(listed::add);
        }
        records.withdrawAllExcept(listed).forEach(zone -> logChange(zone, false));
        read = true;
        notifyListener();
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        boolean any = false;
        for (StoreClient.Entry entry : entries) {
            any |= apply(entry).isPresent();
        }
        if (any) {
            notifyListener();
        }
    }

    @Override
    public void onReplaced() {
        records.forgetOffsets();
    }

    @Override
    public void onUpToDate() {
        lastReadMillis = clock.millis();
    }

    private void notifyListener() {
        listener.onRead(records.isRequested(ownZone), records.offset(ownZone), lastReadMillis);
    }

    /** Applies a record. Returns the zone that it names. */
    private Optional<ZoneId> apply(StoreClient.Entry entry) {
        try {
            Optional<ZoneId> zone = SiteTopics.evacuatedZone(entry);
            zone.filter(each -> records.apply(each, entry.offset(), !entry.isRemoval()))
                    .ifPresent(each -> logChange(each, !entry.isRemoval()));
            return zone;
        } catch (PlatformException e) {
            logOnce(entry.key(), e.getMessage());
            return Optional.empty();
        }
    }

    private void logChange(ZoneId zone, boolean requested) {
        LOG.event(Logger.Level.INFO, requested ? "evacuation requested" : "evacuation withdrawn")
                .with("evacuatedZone", zone)
                .with("offset", records.offset(zone))
                .write();
        if (requested) {
            checkAtMillis.put(zone, clock.millis() + UNKNOWN_ZONE_MILLIS);
        } else {
            checkAtMillis.remove(zone);
        }
    }

    /** Logs each evacuated zone that no host or server names, once there was time to hear of them. */
    void checkNames(Predicate<ZoneId> isNamed) {
        for (ZoneId zone : dueChecks()) {
            checkAtMillis.remove(zone);
            if (!isNamed.test(zone)) {
                logOnce(zone.value(), "no host or server names this zone");
            }
        }
    }

    private List<ZoneId> dueChecks() {
        if (checkAtMillis.isEmpty()) {
            return List.of();
        }
        List<ZoneId> due = new ArrayList<>();
        checkAtMillis.forEach((zone, atMillis) -> {
            if (clock.millis() >= atMillis) {
                due.add(zone);
            }
        });
        return due;
    }

    private void logOnce(String key, String reason) {
        if (loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(key)) {
            LOG.event(Logger.Level.WARN, "evacuation without effect")
                    .with("key", key)
                    .with("reason", reason)
                    .write();
        }
    }
}
