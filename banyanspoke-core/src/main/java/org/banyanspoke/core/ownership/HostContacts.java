package org.banyanspoke.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Knows which hosts have been heard lately, and decides with which of them this host exchanges states next. How often depends on
 * how soon the silence of the other one must be noticed. Not thread safe.
 */
public final class HostContacts {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    /** Hosts that do not answer are asked this often. */
    private static final long SILENT_PERIOD_MILLIS = 1_000;
    /** A pool with less free than this part of its capacity may send jobs elsewhere. */
    private static final int FREE_PART = 4;

    private final MonotonicClock clock;
    private final Supplier<Set<HostId>> waiting;
    private final Map<HostId, Contact> contacts = new HashMap<>();
    private final Map<HostId, Long> askedMillis = new HashMap<>();

    /** How soon the silence of a host must be noticed, from the shortest time to the longest. */
    private enum Need {
        /** The dispatcher of this zone, a host whose jobs are here, and each that may have to follow a lost dispatcher. */
        CLOSE(200, 700),
        /** A dispatcher of another zone, while the dispatcher of this one has room. */
        SPARE(1_000, 2_500),
        /** A host of this zone that does not dispatch; it is needed when the dispatcher is lost. */
        ZONE(3_000, 7_500),
        /** A host of another zone that does not dispatch; if it begins to, it says so. */
        FAR(10_000, 25_000);

        private final long periodMillis;
        /** Two lost exchanges and the time of a third. */
        private final long silenceMillis;

        Need(long periodMillis, long silenceMillis) {
            this.periodMillis = periodMillis;
            this.silenceMillis = silenceMillis;
        }
    }

    private static final class Contact {
        private HostState state;
        private long heardMillis;
        private long silentFromMillis;
        private Need need = Need.CLOSE;

        private void heard(long nowMillis) {
            heardMillis = nowMillis;
            silentFromMillis = nowMillis + need.silenceMillis;
        }

        /** A closer need leaves time for an exchange, as longer silences were allowed before, but never more than before. */
        private void review(Need newNeed, long nowMillis) {
            if (newNeed.compareTo(need) < 0) {
                silentFromMillis = Math.min(silentFromMillis, nowMillis + newNeed.silenceMillis);
            } else if (newNeed != need) {
                silentFromMillis = heardMillis + newNeed.silenceMillis;
            }
            need = newNeed;
        }
    }

    /**
     * @param waiting the hosts that have handed this one jobs that have not ended; these must end soon after their host is lost
     */
    public HostContacts(MonotonicClock clock, Supplier<Set<HostId>> waiting) {
        this.clock = clock;
        this.waiting = waiting;
    }

    /** Takes note of what a host says of itself. Returns whether it was not heard before. */
    public boolean heard(HostState state) {
        Contact known = contacts.get(state.host());
        Contact contact = known == null ? new Contact() : known;
        contact.state = state;
        contact.heard(clock.millis());
        contacts.put(state.host(), contact);
        return known == null;
    }

    /** Returns whether a host has been heard lately. */
    public boolean hears(HostId host) {
        return contacts.containsKey(host);
    }

    /** Returns the states of the hosts that have been heard lately. */
    public Collection<HostState> states() {
        List<HostState> states = new ArrayList<>();
        contacts.values().forEach(each -> states.add(each.state));
        return states;
    }

    /**
     * Forgets the hosts that have been silent for too long.
     *
     * @param own what this host says of itself
     * @return the time for which each of them has been silent, in milliseconds
     */
    public Map<HostId, Long> forgetSilent(HostState own) {
        long nowMillis = clock.millis();
        boolean closeToDispatchers = ownZoneIsTight(own);
        boolean leaderless = !own.dispatching() && dispatcherOf(own) == null;
        Set<HostId> withJobsHere = waiting.get();
        Map<HostId, Long> silent = new HashMap<>();
        contacts.forEach((host, contact) -> {
            boolean hasJobsHere = withJobsHere.contains(host);
            Need need = hasJobsHere ? Need.CLOSE : need(contact.state, own, closeToDispatchers, leaderless);
            contact.review(need, nowMillis);
            if (nowMillis > contact.silentFromMillis) {
                silent.put(host, nowMillis - contact.heardMillis);
            }
        });
        contacts.keySet().removeAll(silent.keySet());
        return silent;
    }

    /** Returns whether it is time to exchange states with a host. One exchange serves both sides. */
    public boolean isDue(HostId host) {
        Contact contact = contacts.get(host);
        long heardMillis = contact == null ? NEVER_MILLIS : contact.heardMillis;
        long sinceMillis = Math.max(askedMillis.getOrDefault(host, NEVER_MILLIS), heardMillis);
        long periodMillis = contact == null ? SILENT_PERIOD_MILLIS : contact.need.periodMillis;
        return clock.millis() - sinceMillis >= periodMillis;
    }

    /** Takes note that a host is asked for its state now. */
    public void asked(HostId host) {
        askedMillis.put(host, clock.millis());
    }

    private static Need need(HostState other, HostState own, boolean closeToDispatchers, boolean leaderless) {
        boolean sameZone = other.zone().equals(own.zone());
        if (sameZone) {
            return other.dispatching() || own.dispatching() || leaderless ? Need.CLOSE : Need.ZONE;
        }
        if (other.dispatching()) {
            return closeToDispatchers ? Need.CLOSE : Need.SPARE;
        }
        return Need.FAR;
    }

    /** Whether jobs may go to other zones soon: the dispatcher of this zone is unknown, or short of room. */
    private boolean ownZoneIsTight(HostState own) {
        HostState dispatcher = own.dispatching() ? own : dispatcherOf(own);
        return dispatcher == null
                || dispatcher.load().queuedMillicores() > 0
                || dispatcher.load().freeMillicores() * FREE_PART
                        < dispatcher.load().capacityMillicores()
                || dispatcher.load().capacityMillicores() == 0;
    }

    private HostState dispatcherOf(HostState own) {
        for (Contact each : contacts.values()) {
            if (each.state.dispatching() && each.state.zone().equals(own.zone())) {
                return each.state;
            }
        }
        return null;
    }
}
