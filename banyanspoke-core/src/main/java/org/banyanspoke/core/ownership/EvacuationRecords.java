package org.banyanspoke.core.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.banyanspoke.api.ids.ZoneId;

/** The newest evacuation record of each zone. An older record never replaces a newer one. */
public final class EvacuationRecords {
    /** Offset of a record whose position in the log is not known. */
    public static final long UNKNOWN_OFFSET = -1;

    private final Map<ZoneId, Newest> newestByZone = new HashMap<>();

    private record Newest(long offset, boolean requested) {}

    /**
     * Applies a record unless a newer one of the same zone is known.
     *
     * @param offset position of the record in the log, or {@link #UNKNOWN_OFFSET}, which counts as the newest one
     * @param requested whether the record requests an evacuation; otherwise it withdraws one
     * @return whether the state of the zone has changed
     */
    public boolean apply(ZoneId zone, long offset, boolean requested) {
        Newest known = newestByZone.get(zone);
        if (known != null && offset != UNKNOWN_OFFSET && offset < known.offset()) {
            return false;
        }
        newestByZone.put(zone, new Newest(offset, requested));
        return requested != (known != null && known.requested());
    }

    /** Withdraws the evacuations of all zones but those listed. Returns the zones whose state has changed. */
    public Set<ZoneId> withdrawAllExcept(Set<ZoneId> listed) {
        Set<ZoneId> withdrawn = new TreeSet<>();
        newestByZone.replaceAll((zone, newest) -> {
            if (listed.contains(zone) || !newest.requested()) {
                return newest;
            }
            withdrawn.add(zone);
            return new Newest(newest.offset(), false);
        });
        return withdrawn;
    }

    /** Forgets the positions of all records, because the log has been replaced by a shorter one. */
    public void forgetOffsets() {
        newestByZone.replaceAll((zone, newest) -> new Newest(UNKNOWN_OFFSET, newest.requested()));
    }

    /** Returns whether the newest record of a zone requests its evacuation. */
    public boolean isRequested(ZoneId zone) {
        Newest newest = newestByZone.get(zone);
        return newest != null && newest.requested();
    }

    /** Returns the position of the newest record of a zone; {@link #UNKNOWN_OFFSET} if there is none. */
    public long offset(ZoneId zone) {
        Newest newest = newestByZone.get(zone);
        return newest == null ? UNKNOWN_OFFSET : newest.offset();
    }

    /** Returns whether there is a dispatcher and every zone with a dispatcher is evacuated. */
    public boolean coverAllDispatchers(Collection<HostState> hosts) {
        boolean anyDispatcher = false;
        for (HostState each : hosts) {
            if (each.dispatching()) {
                anyDispatcher = true;
                if (!isRequested(each.zone())) {
                    return false;
                }
            }
        }
        return anyDispatcher;
    }
}
