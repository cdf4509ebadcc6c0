package org.banyanspoke.core.membership;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;

/**
 * An update about a process that has ended permanently.
 *
 * @param incarnation the process
 * @param host its host
 * @param successor holder of its job archive; null if there is none
 * @param transfers how often the archive has been transferred; the update with the higher number is the newer one
 * @param ageMillis time since the process ended
 */
public record RetiredUpdate(Incarnation incarnation, HostId host, HostId successor, int transfers, long ageMillis)
        implements GossipUpdate {
    @Override
    public Incarnation key() {
        return incarnation;
    }
}
