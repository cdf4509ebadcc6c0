package org.banyanspoke.core.admission.internal;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.admission.AdmissionLoad;
import org.banyanspoke.core.admission.AdmissionRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadAdmissionPolicyTest {
    private static final TeamId TEAM = new TeamId("team");
    private static final BatchConfig BATCH =
            new BatchConfig(new BatchId("batch"), TEAM, UrgencyClass.NORMAL, Instant.MAX, 60_000, Set.of(), Set.of());
    private static final JobRequest JOB =
            new JobRequest(BATCH.id(), List.of(new TaskSpec(new TaskId("t"), "", 100, true)), 0);

    private final LoadAdmissionPolicy rules = new LoadAdmissionPolicy(TimeUnit.SECONDS.toNanos(2));

    private void admit(long promiseMillis, long classWaitMillis, long teamWaitMillis) throws RefusedException {
        AdmissionLoad load = new AdmissionLoad(
                true,
                8,
                TimeUnit.MILLISECONDS.toNanos(classWaitMillis),
                TimeUnit.MILLISECONDS.toNanos(teamWaitMillis),
                0,
                0,
                0,
                1_000,
                1_000,
                1_000);
        rules.admit(new AdmissionRequest(TEAM, JOB, BATCH, promiseMillis), load);
    }

    @Nested
    class ClassWait {
        /** Guards against refusing jobs whose promise is at least twice the wait. */
        @Test
        void mayBeUpToHalfThePromise() {
            assertThatCode(() -> admit(10_000, 5_000, 5_000)).doesNotThrowAnyException();
            assertThatThrownBy(() -> admit(10_000, 5_001, 5_001)).hasMessageContaining("5001 ms of work");
        }

        /** Guards against a limit close to 0 for short promises. */
        @Test
        void mayBeUpToTwoSecondsForAnyPromise() {
            assertThatCode(() -> admit(1_000, 2_000, 2_000)).doesNotThrowAnyException();
            assertThatThrownBy(() -> admit(1_000, 2_001, 2_001)).isInstanceOf(RefusedException.class);
        }

        /** Guards against overload by one team that blocks admission for the other teams of the class. */
        @Test
        void doesNotLimitATeamWithAShortQueue() {
            assertThatCode(() -> admit(10_000, 60_000, 100)).doesNotThrowAnyException();
        }
    }
}
