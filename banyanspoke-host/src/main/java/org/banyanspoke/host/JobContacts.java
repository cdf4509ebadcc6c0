package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.pool.CallerContact;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Records which entry hosts wait for the jobs of this dispatcher, and when each was last known to do so. A contact that
 * is refreshed by a check counts from the time at which the check was sent, so a reply that was held up on its way
 * proves nothing about the time since. Not thread safe.
 */
final class JobContacts implements CallerContact {
    /** Older than any contact. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final HostId self;
    private final MonotonicClock elapsedClock;
    private final LongSupplier ownInputAgeMillis;
    private final long checkAgeMillis;
    private final Map<CallerJobId, Map<HostId, Contact>> contactsByJob = new HashMap<>();
    /** The same contacts, so that the work of a tick grows with the jobs and not with the jobs of each host. */
    private final Map<HostId, Map<CallerJobId, Contact>> contactsByHost = new HashMap<>();

    private final Map<HostId, Long> lastCheckMillis = new HashMap<>();

    private static final class Contact {
        private final long addedMillis;
        private long confirmedMillis;

        private Contact(long addedMillis, long confirmedMillis) {
            this.addedMillis = addedMillis;
            this.confirmedMillis = confirmedMillis;
        }
    }

    /**
     * A question to an entry host for which of its jobs it still waits.
     *
     * @param host the entry host
     * @param jobs its jobs whose contact has to be refreshed
     * @param sentMillis time of the question
     */
    record Check(HostId host, List<CallerJobId> jobs, long sentMillis) {}

    /**
     * @param self this host, whose own callers' connections end here
     * @param elapsedClock clock that also counts the time for which the machine was suspended
     * @param ownInputAgeMillis how long ago this process last read the connections of its callers, in milliseconds
     * @param checkAgeMillis age at which a contact is checked; a check without reply is repeated after the same time
     */
    JobContacts(HostId self, MonotonicClock elapsedClock, LongSupplier ownInputAgeMillis, long checkAgeMillis) {
        this.self = self;
        this.elapsedClock = elapsedClock;
        this.ownInputAgeMillis = ownInputAgeMillis;
        this.checkAgeMillis = checkAgeMillis;
    }

    /**
     * Records that an entry host has sent a job.
     *
     * @param knownMillis time of this host's clock that the entry host had read when it sent the job; 0 if it had read none
     */
    void add(CallerJobId job, HostId host, long knownMillis) {
        long nowMillis = elapsedClock.millis();
        // A time of another process's clock may be in the future.
        boolean valid = knownMillis > 0 && knownMillis <= nowMillis;
        Contact contact = new Contact(nowMillis, valid ? knownMillis : NEVER);
        contactsByJob.computeIfAbsent(job, key -> new HashMap<>()).put(host, contact);
        contactsByHost.computeIfAbsent(host, key -> new HashMap<>()).put(job, contact);
    }

    /** Returns whether any entry host waits for a job. */
    boolean isKnown(CallerJobId job) {
        return contactsByJob.containsKey(job);
    }

    /** Removes a job that has ended. */
    void remove(CallerJobId job) {
        Map<HostId, Contact> contacts = contactsByJob.remove(job);
        if (contacts != null) {
            contacts.keySet().forEach(host -> removeFromHost(host, job));
        }
    }

    /** Removes an entry host that no longer waits for a job. Returns whether it was the last one. */
    boolean remove(CallerJobId job, HostId host) {
        Map<HostId, Contact> contacts = contactsByJob.get(job);
        if (contacts == null || contacts.remove(host) == null) {
            return false;
        }
        removeFromHost(host, job);
        if (contacts.isEmpty()) {
            contactsByJob.remove(job);
        }
        return contacts.isEmpty();
    }

    private void removeFromHost(HostId host, CallerJobId job) {
        Map<CallerJobId, Contact> jobs = contactsByHost.get(host);
        jobs.remove(job);
        if (jobs.isEmpty()) {
            contactsByHost.remove(host);
        }
    }

    /** Returns the entry hosts that wait for jobs. */
    Set<HostId> hosts() {
        return Set.copyOf(contactsByHost.keySet());
    }

    /** Returns the jobs that an entry host waits for. */
    List<CallerJobId> jobsOf(HostId host) {
        return List.copyOf(contactsByHost.getOrDefault(host, Map.of()).keySet());
    }

    @Override
    public long ageMillis(CallerJobId job) {
        long ageMillis = Long.MAX_VALUE;
        long nowMillis = elapsedClock.millis();
        for (Map.Entry<HostId, Contact> each :
                contactsByJob.getOrDefault(job, Map.of()).entrySet()) {
            ageMillis = Math.min(ageMillis, ageMillis(each.getKey(), each.getValue(), nowMillis));
        }
        return ageMillis;
    }

    private long ageMillis(HostId host, Contact contact, long nowMillis) {
        return host.equals(self) ? ownInputAgeMillis.getAsLong() : nowMillis - contact.confirmedMillis;
    }

    /** Returns whether the contact with the entry hosts of a job has to be checked. */
    boolean isCheckDue(CallerJobId job) {
        return ageMillis(job) >= checkAgeMillis;
    }

    /** Returns whether a start of one of these jobs may have been delayed by the age of its contact. */
    boolean hasStale(Collection<CallerJobId> jobs) {
        return jobs.stream().anyMatch(job -> ageMillis(job) >= 2 * checkAgeMillis);
    }

    /** Returns the checks that are due now, and counts them as sent. */
    List<Check> takeDueChecks() {
        long nowMillis = elapsedClock.millis();
        List<Check> checks = new ArrayList<>();
        contactsByHost.forEach((host, contacts) -> {
            boolean awaitsReply = nowMillis - lastCheckMillis.getOrDefault(host, NEVER) < checkAgeMillis;
            if (!host.equals(self) && !awaitsReply && isCheckDue(contacts.values(), nowMillis)) {
                lastCheckMillis.put(host, nowMillis);
                checks.add(new Check(host, jobsToCheck(contacts, nowMillis), nowMillis));
            }
        });
        return checks;
    }

    private boolean isCheckDue(Collection<Contact> contacts, long nowMillis) {
        for (Contact contact : contacts) {
            if (nowMillis - contact.confirmedMillis >= checkAgeMillis) {
                return true;
            }
        }
        return false;
    }

    /** Includes contacts that would soon be due, which saves a check of their own. */
    private List<CallerJobId> jobsToCheck(Map<CallerJobId, Contact> contacts, long nowMillis) {
        List<CallerJobId> jobs = new ArrayList<>();
        contacts.forEach((job, contact) -> {
            if (nowMillis - contact.confirmedMillis >= checkAgeMillis / 2) {
                jobs.add(job);
            }
        });
        return jobs;
    }

    /**
     * Applies the reply to a check.
     *
     * @param awaited the jobs that the entry host still waits for
     * @return the jobs that it no longer waits for; they are not removed
     */
    List<CallerJobId> apply(Check check, Set<CallerJobId> awaited) {
        lastCheckMillis.remove(check.host());
        List<CallerJobId> released = new ArrayList<>();
        for (CallerJobId job : check.jobs()) {
            Contact contact = contactsByJob.getOrDefault(job, Map.of()).get(check.host());
            if (contact == null || contact.addedMillis > check.sentMillis()) {
                continue;
            }
            if (awaited.contains(job)) {
                contact.confirmedMillis = Math.max(contact.confirmedMillis, check.sentMillis());
            } else {
                released.add(job);
            }
        }
        return released;
    }
}
