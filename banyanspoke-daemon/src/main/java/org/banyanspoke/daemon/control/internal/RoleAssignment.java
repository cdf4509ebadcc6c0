package org.banyanspoke.daemon.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Completable;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.core.config.ConfigTracker;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.Rendezvous;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.platform.LogClient;
import org.jboss.logging.Logger;

/**
 * Assigns log readers, the snapshot writer and checkers of leaving servers among live hosts by rendezvous hashing,
 * without coordination messages.
 */
public final class RoleAssignment {
    private static final Logger LOG = Logger.getLogger(RoleAssignment.class);

    /** Log readers in each availability zone. */
    private static final int READERS_PER_ZONE = 2;

    /** One more than needed, in case one host is partitioned from the server. */
    private static final int CHECKERS_PER_SERVER = 2;

    private static final int SNAPSHOT_TICKETS = 100;
    private static final long SNAPSHOT_MILLIS = 3_600_000;

    private final HostId self;
    private final ZoneId zone;
    private final Swim swim;
    private final ConfigHolder config;
    private final LogReader reader;
    private final LogClient log;
    private final MonotonicClock clock;
    private long seenSnapshotNumber;
    private long lastSnapshotMillis;

    /**
     * @param self this host
     * @param zone its zone
     * @param swim live members
     * @param config the configuration
     * @param reader reads the log to its end
     * @param log receives snapshots
     * @param clock schedules snapshots
     */
    public RoleAssignment(
            HostId self,
            ZoneId zone,
            Swim swim,
            ConfigHolder config,
            LogReader reader,
            LogClient log,
            MonotonicClock clock) {
        this.self = self;
        this.zone = zone;
        this.swim = swim;
        this.config = config;
        this.reader = reader;
        this.log = log;
        this.clock = clock;
        this.lastSnapshotMillis = clock.millis();
    }

    /** Returns whether this host is a log reader of its zone. */
    public boolean isReader() {
        List<HostId> hosts = new ArrayList<>(List.of(self));
        swim.table().live().stream()
                .filter(member -> member.config().zone().equals(zone))
                .forEach(member -> hosts.add(member.config().id()));
        return Rendezvous.choose("log/" + zone, hosts, READERS_PER_ZONE).contains(self);
    }

    /** Returns whether this host checks a leaving server. */
    public boolean isCheckerOf(ServerId server) {
        return Rendezvous.choose("server/" + server, liveHosts(), CHECKERS_PER_SERVER)
                .contains(self);
    }

    /**
     * Writes a snapshot if one is due and this host is the assigned writer. Reads the log first, because a host that is
     * not a reader does not see the snapshots of others. A duplicate snapshot is harmless.
     */
    public Completable writeSnapshotIfDue() {
        if (!isDue() || !isWriter()) {
            return Completable.complete();
        }
        return reader.readToEnd().andThen(Completable.defer(() -> isDue() ? writeSnapshot() : Completable.complete()));
    }

    private boolean isDue() {
        ConfigTracker tracker = config.tracker();
        if (tracker.lastSnapshotNumber() > seenSnapshotNumber) {
            seenSnapshotNumber = tracker.lastSnapshotNumber();
            lastSnapshotMillis = clock.millis();
        }
        long number = tracker.state().number();
        boolean many = number - seenSnapshotNumber >= SNAPSHOT_TICKETS;
        boolean old = clock.millis() - lastSnapshotMillis >= SNAPSHOT_MILLIS;
        return number > 0 && !tracker.hasGap() && (many || old);
    }

    private boolean isWriter() {
        String key = "snapshot/" + config.state().number();
        return Rendezvous.choose(key, liveHosts(), 1).contains(self);
    }

    private List<HostId> liveHosts() {
        List<HostId> hosts = new ArrayList<>(List.of(self));
        swim.table().live().stream().map(Member::config).forEach(member -> hosts.add(member.id()));
        return hosts;
    }

    private Completable writeSnapshot() {
        JsonNode snapshot = Json.mapper().valueToTree(config.tracker().snapshot());
        long number = config.state().number();
        return log.append(Json.mapper().createObjectNode().set("snapshot", snapshot))
                .doOnSuccess(offset -> LOG.infof("wrote a snapshot of configuration %d at offset %d", number, offset))
                .ignoreElement()
                .andThen(reader.readToEnd())
                .andThen(Completable.fromAction(() -> lastSnapshotMillis = clock.millis()));
    }
}
