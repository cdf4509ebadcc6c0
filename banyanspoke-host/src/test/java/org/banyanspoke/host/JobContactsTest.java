package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.pool.CallerJobId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a contact with a caller that is taken for newer than it is, or that is never checked. */
class JobContactsTest {
    private static final HostId SELF = new HostId("self");
    private static final HostId ENTRY = new HostId("entry");
    private static final HostId OTHER = new HostId("other");
    private static final CallerJobId JOB = new CallerJobId("00000000000000aa");
    private static final CallerJobId NEXT_JOB = new CallerJobId("00000000000000bb");

    private long nowMillis = 50_000;
    private long ownInputAgeMillis = 3;
    private final JobContacts contacts =
            new JobContacts(SELF, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis), () -> ownInputAgeMillis, 200);

    private JobContacts.Check takeOnlyCheck() {
        List<JobContacts.Check> checks = contacts.takeDueChecks();
        assertThat(checks).hasSize(1);
        return checks.get(0);
    }

    @Nested
    class AJobThatArrives {
        /** A job that was held up in a connection for 2.3 s was started although its caller had left. */
        @Test
        void isAsOldAsTheClockReadingOfItsEntryHost() {
            contacts.add(JOB, ENTRY, nowMillis - 2_300);
            assertThat(contacts.ageMillis(JOB)).isEqualTo(2_300);
        }

        @Test
        void hasNoContactWithoutAClockReading() {
            contacts.add(JOB, ENTRY, 0);
            assertThat(contacts.ageMillis(JOB)).isGreaterThan(1_000_000_000);
        }

        /** The dispatcher was restarted, and its clock with it. */
        @Test
        void hasNoContactWithAReadingOfTheFuture() {
            contacts.add(JOB, ENTRY, nowMillis + 5_000);
            assertThat(contacts.ageMillis(JOB)).isGreaterThan(1_000_000_000);
        }

        @Test
        void ofThisHostIsAsOldAsItsInput() {
            contacts.add(JOB, SELF, 0);
            assertThat(contacts.ageMillis(JOB)).isEqualTo(3);
            ownInputAgeMillis = 2_400;
            assertThat(contacts.ageMillis(JOB)).isEqualTo(2_400);
        }

        @Test
        void hasTheNewestContactOfItsEntryHosts() {
            contacts.add(JOB, ENTRY, nowMillis - 900);
            contacts.add(JOB, OTHER, nowMillis - 30);
            assertThat(contacts.ageMillis(JOB)).isEqualTo(30);
        }
    }

    @Test
    void aJobThatIsNotKnownHasNoContact() {
        assertThat(contacts.ageMillis(JOB)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aJobEndsWithItsLastEntryHost() {
        contacts.add(JOB, ENTRY, nowMillis);
        contacts.add(JOB, OTHER, nowMillis);
        assertThat(contacts.remove(JOB, ENTRY)).isFalse();
        assertThat(contacts.remove(JOB, ENTRY)).isFalse();
        assertThat(contacts.remove(JOB, OTHER)).isTrue();
        assertThat(contacts.hosts()).isEmpty();
    }

    @Nested
    class AReplyToACheck {
        private JobContacts.Check check;

        private void sendCheck() {
            contacts.add(JOB, ENTRY, nowMillis);
            nowMillis += 200;
            check = takeOnlyCheck();
        }

        /** A reply that was buffered while this process was suspended tells nothing about the time since. */
        @Test
        void countsFromTheTimeOfTheQuestion() {
            sendCheck();
            nowMillis += 2_400;
            assertThat(contacts.apply(check, Set.of(JOB))).isEmpty();
            assertThat(contacts.ageMillis(JOB)).isEqualTo(2_400);
        }

        @Test
        void returnsTheJobsThatNobodyWaitsFor() {
            sendCheck();
            assertThat(contacts.apply(check, Set.of())).containsExactly(JOB);
        }

        /** The caller has sent the job again since; the reply speaks of its earlier attempt. */
        @Test
        void doesNotApplyToALaterSubmission() {
            sendCheck();
            contacts.remove(JOB, ENTRY);
            nowMillis += 1;
            contacts.add(JOB, ENTRY, nowMillis);
            assertThat(contacts.apply(check, Set.of())).isEmpty();
        }

        @Test
        void neverMakesAContactOlder() {
            sendCheck();
            contacts.apply(check, Set.of(JOB));
            nowMillis += 200;
            JobContacts.Check next = takeOnlyCheck();
            contacts.apply(next, Set.of(JOB));
            contacts.apply(check, Set.of(JOB));
            assertThat(contacts.ageMillis(JOB)).isZero();
        }
    }

    @Nested
    class ChecksAreDue {
        @Test
        void onlyForOldContactsOfOtherHosts() {
            contacts.add(JOB, ENTRY, nowMillis);
            contacts.add(NEXT_JOB, SELF, 0);
            nowMillis += 199;
            ownInputAgeMillis = 10_000;
            assertThat(contacts.takeDueChecks()).isEmpty();
        }

        @Test
        void forAllJobsOfAnEntryHostTogether() {
            contacts.add(JOB, ENTRY, nowMillis);
            nowMillis += 80;
            contacts.add(NEXT_JOB, ENTRY, nowMillis);
            nowMillis += 120;
            assertThat(takeOnlyCheck().jobs()).containsExactlyInAnyOrder(JOB, NEXT_JOB);
        }

        @Test
        void againAfterATimeWithoutReply() {
            contacts.add(JOB, ENTRY, 0);
            takeOnlyCheck();
            nowMillis += 199;
            assertThat(contacts.takeDueChecks()).isEmpty();
            nowMillis += 1;
            takeOnlyCheck();
        }
    }
}
