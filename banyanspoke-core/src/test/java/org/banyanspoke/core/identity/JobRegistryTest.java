package org.banyanspoke.core.identity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.hash.HashCode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.api.job.TaskAnswer;
import org.banyanspoke.core.identity.JobRegistry.Finished;
import org.banyanspoke.core.identity.JobRegistry.Running;
import org.banyanspoke.core.identity.JobRegistry.Unused;
import org.banyanspoke.core.identity.internal.DefaultJobRegistry;
import org.banyanspoke.core.identity.internal.HmacJobIdIssuer;
import org.banyanspoke.core.identity.internal.RegistryLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobRegistryTest {
    private static final TeamId TEAM = new TeamId("team");
    private static final TeamId OTHER_TEAM = new TeamId("other");
    private static final HashCode BODY = HashCode.fromInt(1);
    private static final HashCode OTHER_BODY = HashCode.fromInt(2);
    private static final long RETENTION_SECONDS = 120;

    private long nanos = Long.MAX_VALUE - 5;
    private final ProcessIdentity owner =
            new ProcessIdentity(new HostId("h1"), "127.0.0.1:1", new Incarnation(0xfedcba9876543210L));
    private final Generations generations = new Generations(() -> nanos);
    private final JobIdIssuer issuer = new HmacJobIdIssuer(owner, generations, new byte[16]);
    private final JobRegistry registry = new DefaultJobRegistry(
            issuer,
            generations,
            () -> nanos,
            new RegistryLimits(20, TimeUnit.SECONDS.toNanos(RETENTION_SECONDS), 5_000));

    private JobId issue() {
        return issuer.issue(TEAM, 1).get(0);
    }

    private void advanceSeconds(long seconds) {
        nanos += TimeUnit.SECONDS.toNanos(seconds);
        registry.expire();
    }

    private static JobAnswer complete(JobId id, int resultChars) {
        TaskAnswer task = new TaskAnswer(new TaskId("t"), "x".repeat(resultChars), new ServerId("s"));
        return new JobAnswer(id, JobState.COMPLETE, null, new JobCounts(0, 0, 1, 0, 0, 0), List.of(task));
    }

    private static JobAnswer failed(JobId id) {
        ErrorKind kind = ErrorKind.TASK_FAILED;
        return new JobAnswer(
                id,
                JobState.FAILED,
                new ErrorBody(kind, kind.execution(), "failed"),
                new JobCounts(0, 0, 0, 1, 0, 0),
                List.of());
    }

    private void assertKind(JobId id, TeamId team, HashCode body, ErrorKind kind) {
        assertThatThrownBy(() -> registry.find(id, team, body))
                .isInstanceOfSatisfying(
                        DispatchException.class, e -> assertThat(e.kind()).isEqualTo(kind));
    }

    @Nested
    class Ids {
        /** Guards against ids that a client forges or takes from another team. */
        @Test
        void alteredIdIsUnknown() throws Exception {
            JobId id = issue();
            assertThat(registry.find(JobId.parse(id.toString()), TEAM, BODY)).isEqualTo(new Unused());
            for (JobId forged : List.of(
                    new JobId(id.host(), id.peerAddress(), id.incarnation(), 0, id.sequence() + 1, id.mac()),
                    new JobId(id.host(), id.peerAddress(), id.incarnation(), 1, id.sequence(), id.mac()),
                    new JobId(id.host(), id.peerAddress(), id.incarnation(), 0, id.sequence(), id.mac() ^ 1),
                    new JobId(id.host(), "127.0.0.1:2", id.incarnation(), 0, id.sequence(), id.mac()),
                    new JobId(new HostId("h2"), id.peerAddress(), id.incarnation(), 0, id.sequence(), id.mac()))) {
                assertKind(forged, TEAM, BODY, ErrorKind.UNKNOWN_JOB);
            }
            assertKind(id, OTHER_TEAM, BODY, ErrorKind.UNKNOWN_JOB);
        }

        /** Guards against the job of an earlier process being reported as not run, although it may have run. */
        @Test
        void idOfOtherIncarnationIsOwnerLost() {
            JobId id = issue();
            JobId earlier = new JobId(id.host(), id.peerAddress(), new Incarnation(1), 0, 1, id.mac());
            assertKind(earlier, TEAM, BODY, ErrorKind.OWNER_LOST);
        }
    }

    @Group
    @Nested
    class Records {
        /** Guards against a second job under a used id. */
        @Test
        void usedIdIsFoundOrConflicts() throws Exception {
            JobId id = issue();
            registry.begin(id, TEAM, BODY);
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Running());
            assertKind(id, TEAM, OTHER_BODY, ErrorKind.JOB_ID_CONFLICT);
            registry.finish(id, complete(id, 10));
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Finished(complete(id, 10)));
            assertKind(id, TEAM, OTHER_BODY, ErrorKind.JOB_ID_CONFLICT);
            assertThatThrownBy(() -> registry.begin(id, TEAM, BODY)).isInstanceOf(IllegalStateException.class);
        }

        /** Guards against an id that expires within 5 minutes or is accepted after its generation was closed. */
        @Test
        void idStaysOpenForAtLeastFiveMinutes() throws Exception {
            advanceSeconds(29);
            JobId id = issue();
            advanceSeconds(300);
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Unused());
            advanceSeconds(1);
            assertKind(id, TEAM, BODY, ErrorKind.JOB_ID_EXPIRED);
        }

        /** Guards against dropping the record of a job that still runs or whose answer is still retained. */
        @Test
        void recordIsKeptWhileRunningOrRetained() throws Exception {
            JobId id = issue();
            registry.begin(id, TEAM, BODY);
            advanceSeconds(1_000);
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Running());
            registry.finish(id, failed(id));
            advanceSeconds(RETENTION_SECONDS - 1);
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Finished(failed(id)));
            advanceSeconds(1);
            assertKind(id, TEAM, BODY, ErrorKind.JOB_ID_EXPIRED);
            assertThat(registry.size()).isZero();
        }

        /** Guards against an unbounded number of records. */
        @Test
        void rejectsNewRecordWhenFull() throws Exception {
            List<JobId> ids = issuer.issue(TEAM, 21);
            for (JobId id : ids.subList(0, 20)) {
                registry.begin(id, TEAM, BODY);
            }
            assertThat(registry.isFull()).isTrue();
            assertThatThrownBy(() -> registry.begin(ids.get(20), TEAM, BODY)).hasMessageContaining("20 records");
            assertThat(registry.find(ids.get(20), TEAM, BODY)).isEqualTo(new Unused());
        }

        /** Guards against a job that runs twice because its record was dropped too early, for any order of events. */
        @Property(tries = 300, seed = "1")
        void usedOpenIdIsNeverReportedUnused(@ForAll @Size(max = 200) List<@IntRange(max = 99) Integer> steps)
                throws Exception {
            new JobRegistryTest().checkUsedIds(steps);
        }
    }

    private void checkUsedIds(List<Integer> steps) throws Exception {
        List<JobId> ids = issuer.issue(TEAM, 15);
        Set<JobId> used = new HashSet<>();
        for (int step : steps) {
            apply(step, ids.get(step % ids.size()), used);
            for (JobId id : ids) {
                boolean mayStart = generations.isOpen(id.generation()) && !used.contains(id);
                assertThat(isUnused(id)).isEqualTo(mayStart);
            }
        }
    }

    private void apply(int step, JobId id, Set<JobId> used) throws Exception {
        if (step < 40 && generations.isOpen(id.generation()) && used.add(id)) {
            registry.begin(id, TEAM, BODY);
        } else if (step < 80 && isRunning(id)) {
            registry.finish(id, step % 2 == 0 ? complete(id, step * 40) : failed(id));
        } else if (step >= 80) {
            advanceSeconds(step % 16);
        }
    }

    private boolean isRunning(JobId id) {
        try {
            return registry.find(id, TEAM).equals(new Running());
        } catch (DispatchException e) {
            return false;
        }
    }

    private boolean isUnused(JobId id) {
        try {
            return registry.find(id, TEAM).equals(new Unused());
        } catch (DispatchException e) {
            return false;
        }
    }

    @Nested
    class Answers {
        /** Guards against a discarded answer being reported as a failure or as not run. */
        @Test
        void completeAnswerIsDiscardedAfterRetention() throws Exception {
            JobId id = issue();
            registry.begin(id, TEAM, BODY);
            registry.finish(id, complete(id, 10));
            advanceSeconds(RETENTION_SECONDS);
            assertKind(id, TEAM, BODY, ErrorKind.ANSWER_DISCARDED);
            assertThat(registry.keptAnswerBytes()).isZero();
        }

        /** Guards against a failed job being reported later with the execution "ran". */
        @Test
        void failureIsKeptWhileGenerationIsOpen() throws Exception {
            JobId id = issue();
            registry.begin(id, TEAM, BODY);
            registry.finish(id, failed(id));
            advanceSeconds(300);
            assertThat(registry.find(id, TEAM, BODY)).isEqualTo(new Finished(failed(id)));
        }

        /** Guards against retained answers above the size limit and against dropping the newest ones. */
        @Test
        void oldestAnswersAreDroppedFirst() throws Exception {
            List<JobId> ids = issuer.issue(TEAM, 3);
            for (JobId id : ids) {
                registry.begin(id, TEAM, BODY);
                registry.finish(id, complete(id, 1_500));
            }
            assertThat(registry.keptAnswerBytes()).isBetween(3_000L, 5_000L);
            assertKind(ids.get(0), TEAM, BODY, ErrorKind.ANSWER_DISCARDED);
            assertThat(registry.find(ids.get(2), TEAM, BODY)).isInstanceOf(Finished.class);
        }
    }

    @Nested
    class Archives {
        private final ArchivedJobs archived = new ArchivedJobs(() -> nanos, TimeUnit.SECONDS.toNanos(330), 3_000);

        private void assertArchived(JobId id, TeamId team, HashCode body, ErrorKind kind) {
            assertThatThrownBy(() -> archived.resubmit(team, id, body))
                    .isInstanceOfSatisfying(
                            DispatchException.class, e -> assertThat(e.kind()).isEqualTo(kind));
        }

        private JobId finished(int resultChars) throws Exception {
            JobId id = issue();
            registry.begin(id, TEAM, BODY);
            registry.finish(id, complete(id, resultChars));
            return id;
        }

        /** Guards against a successor that reports a job as not run although it ran, or the other way round. */
        @Test
        void successorAnswersAsOwner() throws Exception {
            JobId old = issue();
            advanceSeconds(330);
            JobId id = finished(10);
            JobId running = issue();
            registry.begin(running, TEAM, BODY);
            JobId unused = issue();
            archived.accept(registry.archive(
                    job -> new JobAnswer(job, JobState.RUNNING, null, new JobCounts(0, 1, 0, 0, 0, 0), List.of())));
            assertThat(archived.resubmit(TEAM, id, BODY)).isEqualTo(complete(id, 10));
            assertThat(archived.status(TEAM, id)).isEqualTo(complete(id, 10));
            assertArchived(id, TEAM, OTHER_BODY, ErrorKind.JOB_ID_CONFLICT);
            assertArchived(id, OTHER_TEAM, BODY, ErrorKind.UNKNOWN_JOB);
            assertArchived(running, TEAM, BODY, ErrorKind.OWNER_LOST);
            assertArchived(unused, TEAM, BODY, ErrorKind.UNKNOWN_JOB);
            assertArchived(old, TEAM, BODY, ErrorKind.JOB_ID_EXPIRED);
        }

        /** Guards against a job being reported as not run after its archive has expired. */
        @Test
        void missingArchiveIsOwnerLost() throws Exception {
            JobId id = finished(10);
            assertArchived(id, TEAM, BODY, ErrorKind.OWNER_LOST);
            archived.accept(registry.archive(job -> null));
            assertThat(archived.has(id.incarnation())).isTrue();
            nanos += TimeUnit.SECONDS.toNanos(330);
            archived.expire();
            assertThat(archived.has(id.incarnation())).isFalse();
            assertArchived(id, TEAM, BODY, ErrorKind.OWNER_LOST);
        }

        /** Guards against unbounded archives and against a dropped answer being reported as not run. */
        @Test
        void answersAboveSizeLimitAreDiscarded() throws Exception {
            JobId id = finished(3_500);
            archived.accept(registry.archive(job -> null));
            assertArchived(id, TEAM, BODY, ErrorKind.ANSWER_DISCARDED);
        }
    }
}
