package org.banyanspoke.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.hash.HashCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.DispatcherFixture.Caller;
import org.banyanspoke.core.identity.JobArchive;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private final DispatcherFixture fixture = DispatcherFixture.configured();
    private final Dispatcher dispatcher = fixture.dispatcher;
    private final FakeTransport transport = fixture.transport;

    private Caller submit(int tasks, boolean idempotent) throws Exception {
        return fixture.submit(fixture.reserve(), DispatcherFixture.job(tasks, idempotent));
    }

    private static void assertFailed(Caller caller, ErrorKind kind, JobCounts counts) {
        JobAnswer answer = caller.only();
        assertThat(answer.state()).isEqualTo(JobState.FAILED);
        assertThat(answer.error().kind()).isEqualTo(kind);
        assertThat(answer.counts()).isEqualTo(counts);
        assertThat(answer.tasks()).isEmpty();
    }

    private static void assertThrowsKind(ThrowingCallable call, ErrorKind kind) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        DispatchException.class, e -> assertThat(e.kind()).isEqualTo(kind));
    }

    private void assertRefused(JobRequest request, ErrorKind kind) throws Exception {
        JobId id = fixture.reserve();
        int started = transport.started.size();
        assertThrowsKind(() -> fixture.submit(id, request), kind);
        assertThat(kind.execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(transport.started).hasSize(started);
        assertThrowsKind(() -> dispatcher.status(DispatcherFixture.TEAM, id), ErrorKind.UNKNOWN_JOB);
    }

    @Nested
    class AllOrNothing {
        /** Guards against results that are lost or out of order when a job has more tasks than there are slots. */
        @Test
        void answerHasAllResultsInOrder() throws Exception {
            Caller caller = submit(50, false);
            transport.answerAll(Outcome.DONE);
            JobAnswer answer = caller.only();
            assertThat(answer.state()).isEqualTo(JobState.COMPLETE);
            assertThat(answer.tasks()).hasSize(50);
            assertThat(answer.tasks().get(49).result()).startsWith("result of t49 ");
            assertThat(transport.started).hasSize(50);
        }

        /** Guards against tasks that start or continue to run after their job has failed. */
        @Test
        void failedTaskFailsTheJob() throws Exception {
            Caller caller = submit(20, false);
            transport.answerOldest(Outcome.DONE);
            transport.answerOldest(Outcome.FAILED);
            assertFailed(caller, ErrorKind.TASK_FAILED, new JobCounts(0, 0, 1, 1, 15, 3));
            assertThat(transport.stopped).containsExactlyInAnyOrderElementsOf(transport.open.keySet());
            transport.answerAll(Outcome.DONE);
            assertThat(transport.started).hasSize(17);
            assertThat(caller.answers).hasSize(1);
            assertThat(dispatcher.stats().tasksInFlight()).isZero();
        }

        /**
         * Guards against a late result that completes a job after its deadline because a pause of the process has
         * delayed the tick.
         */
        @Test
        void resultAfterTheDeadlineIsIgnored() throws Exception {
            Caller caller = submit(1, false);
            fixture.pauseMillis(DispatcherFixture.PROMISE_MILLIS);
            transport.answerOldest(Outcome.DONE);
            assertFailed(caller, ErrorKind.DEADLINE_EXCEEDED, new JobCounts(0, 0, 0, 0, 1, 0));
        }

        /** Guards against reporting "may have run" for a job whose counts show that no task was started. */
        @Test
        void unstartedJobIsReportedAsNotRun() throws Exception {
            submit(16, false);
            Caller withoutCapacity = submit(5, false);
            fixture.advanceMillis(DispatcherFixture.PROMISE_MILLIS);
            assertFailed(withoutCapacity, ErrorKind.NOT_STARTED_IN_TIME, new JobCounts(0, 0, 0, 0, 0, 5));
            assertThat(withoutCapacity.only().error().execution()).isEqualTo(Execution.NOT_RUN);
        }

        /** Guards against slots that are released twice when the transport reports the result of an attempt twice. */
        @Test
        void duplicateResultIsIgnored() throws Exception {
            submit(40, false);
            TaskAttempt attempt = transport.oldest();
            Consumer<AttemptResult> onEnd = transport.open.get(attempt);
            transport.answer(attempt, Outcome.DONE);
            onEnd.accept(FakeTransport.result(attempt, Outcome.DONE));
            assertThat(transport.started).hasSize(17);
            assertThat(dispatcher.stats().tasksInFlight()).isEqualTo(16);
        }

        /** Guards against a lease that expires after the deadline of the job. */
        @Test
        void leaseEndsAtTheDeadline() throws Exception {
            submit(17, false);
            fixture.advanceMillis(400);
            transport.answerOldest(Outcome.DONE);
            assertThat(transport.started.get(0).leaseMillis()).isEqualTo(1_000);
            assertThat(transport.started.get(16).leaseMillis()).isEqualTo(600);
        }

        /** Guards against partially updated state when a caller submits another job from its callback. */
        @Test
        void callbackMaySubmitAnotherJob() throws Exception {
            List<Caller> second = new ArrayList<>();
            dispatcher.submit(
                    DispatcherFixture.submission(fixture.reserve(), DispatcherFixture.job(1, false)),
                    answer -> second.add(submitUnchecked()));
            transport.answerAll(Outcome.DONE);
            assertThat(second.get(0).only().state()).isEqualTo(JobState.COMPLETE);
        }

        private Caller submitUnchecked() {
            try {
                return submit(20, false);
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        }

        /** Guards against a cancellation that leaves tasks waiting or changes a job that has ended. */
        @Test
        void cancellationIsFinal() throws Exception {
            JobId id = fixture.reserve();
            Caller caller = fixture.submit(id, DispatcherFixture.job(20, false));
            JobAnswer answer = dispatcher.cancel(DispatcherFixture.TEAM, id);
            assertFailed(caller, ErrorKind.CANCELLED, new JobCounts(0, 0, 0, 0, 16, 4));
            assertThat(answer).isEqualTo(caller.only());
            transport.answerAll(Outcome.DONE);
            assertThat(dispatcher.cancel(DispatcherFixture.TEAM, id)).isEqualTo(answer);
            assertThrowsKind(() -> dispatcher.cancel(DispatcherFixture.OTHER_TEAM, id), ErrorKind.UNKNOWN_JOB);
        }
    }

    @Nested
    class Retries {
        /** Guards against a job that fails because a single connection was refused. */
        @Test
        void unsentTaskIsRetriedOnAnotherServer() throws Exception {
            Caller caller = submit(1, false);
            transport.answerOldest(Outcome.NOT_SENT);
            fixture.advanceMillis(20);
            transport.answerAll(Outcome.DONE);
            assertThat(caller.only().state()).isEqualTo(JobState.COMPLETE);
            assertThat(transport.started).hasSize(2);
        }

        /** Guards against a second request for a task that must run at most once. */
        @Test
        void refusedTaskIsRetriedOnlyIfIdempotent() throws Exception {
            Caller atMostOnce = submit(1, false);
            transport.answerOldest(Outcome.REFUSED_BY_SERVER);
            assertFailed(atMostOnce, ErrorKind.TASK_FAILED, new JobCounts(0, 0, 0, 1, 0, 0));
            Caller idempotent = submit(1, true);
            transport.answerOldest(Outcome.REFUSED_BY_SERVER);
            fixture.advanceMillis(20);
            transport.answerAll(Outcome.DONE);
            assertThat(idempotent.only().state()).isEqualTo(JobState.COMPLETE);
        }

        /** Guards against unlimited or immediate retries on servers that refuse requests. */
        @Test
        void retriesAreBoundedAndDelayed() throws Exception {
            fixture.configure(DispatcherFixture.START.plus(Duration.ofHours(1)), DispatcherFixture.S1);
            Caller caller = submit(1, false);
            transport.answerOldest(Outcome.NOT_SENT);
            assertThat(transport.open).isEmpty();
            for (int i = 0; i < DispatcherSettings.DEFAULT.maxRetries(); i++) {
                fixture.advanceMillis(20);
                transport.answerOldest(Outcome.NOT_SENT);
            }
            assertFailed(caller, ErrorKind.NO_ELIGIBLE_SERVER, new JobCounts(0, 0, 0, 0, 0, 1));
            assertThat(transport.started).hasSize(1 + DispatcherSettings.DEFAULT.maxRetries());
        }
    }

    @Nested
    class WrittenRequests {
        /**
         * Guards against reporting "not run" for a job if a request for it was written, even if every server refused
         * the request.
         */
        @Test
        void refusedTaskIsNotReportedAsNotRun() throws Exception {
            Caller caller = submit(1, true);
            transport.answerOldest(Outcome.REFUSED_BY_SERVER);
            dispatcher.setLeaving(Set.of(DispatcherFixture.S1, DispatcherFixture.S2));
            assertThat(caller.answers).isEmpty();
            fixture.advanceMillis(DispatcherFixture.PROMISE_MILLIS);
            assertFailed(caller, ErrorKind.DEADLINE_EXCEEDED, new JobCounts(0, 0, 0, 0, 0, 1));
        }
    }

    @Nested
    class ServerHealth {
        /** Guards against ejections and reinstatements of servers that are not reported to logs and metrics. */
        @Test
        void ejectionAndReturnAreReported() throws Exception {
            DispatcherFixture adaptive =
                    new DispatcherFixture(DispatcherFixture.Policy.ADAPTIVE, Fault.NONE, attempt -> {});
            adaptive.configure(DispatcherFixture.START.plusSeconds(3_600), DispatcherFixture.S1);
            adaptive.setQuota(1_000, 2_000);
            for (int i = 0; i < 3; i++) {
                adaptive.submit(adaptive.reserve(), DispatcherFixture.job(1, true));
            }
            adaptive.transport.answerAll(Outcome.FAILED);
            adaptive.advanceMillis(300);
            assertThat(adaptive.ejections).containsExactly("s1 ejected");
            adaptive.advanceMillis(5_000);
            adaptive.advanceMillis(300);
            assertThat(adaptive.ejections).containsExactly("s1 ejected", "s1 returned");
        }

        /** Guards against the ejection of healthy servers after many cancellations. */
        @Test
        void stoppedTaskIsNotAServerFailure() throws Exception {
            JobId id = fixture.reserve();
            fixture.submit(id, DispatcherFixture.job(1, false));
            dispatcher.cancel(DispatcherFixture.TEAM, id);
            transport.answerOldest(Outcome.UNKNOWN);
            assertThat(fixture.poolCalls).contains("onStopped").doesNotContain("onEnded");
        }

        /** Guards against an unresponsive server that receives new tasks after each deadline. */
        @Test
        void noResponseUntilTheDeadlineIsAServerFailure() throws Exception {
            submit(1, false);
            fixture.advanceMillis(DispatcherFixture.PROMISE_MILLIS);
            transport.answerOldest(Outcome.UNKNOWN);
            assertThat(fixture.poolCalls).contains("onEnded").doesNotContain("onStopped");
        }

        /**
         * Guards against counting failures of healthy servers when jobs miss their deadline because of the wait in
         * the queue.
         */
        @Test
        void lateStartIsNotAServerFailure() throws Exception {
            submit(17, false);
            fixture.advanceMillis(DispatcherFixture.PROMISE_MILLIS - 100);
            transport.answerOldest(Outcome.DONE);
            fixture.poolCalls.clear();
            fixture.advanceMillis(100);
            transport.answer(transport.started.get(16), Outcome.UNKNOWN);
            assertThat(fixture.poolCalls).contains("onStopped").doesNotContain("onEnded");
        }
    }

    @Nested
    class Resubmissions {
        /** Guards against a second run of a resubmitted job and against a caller that receives no answer. */
        @Test
        void sameBodyAttachesToTheJob() throws Exception {
            JobId id = fixture.reserve();
            Caller first = fixture.submit(id, DispatcherFixture.job(3, false));
            Caller second = fixture.submit(id, DispatcherFixture.job(3, false));
            assertThrowsKind(() -> fixture.submit(id, DispatcherFixture.job(2, false)), ErrorKind.JOB_ID_CONFLICT);
            transport.answerAll(Outcome.DONE);
            Caller third = fixture.submit(id, DispatcherFixture.job(3, false));
            assertThat(second.only()).isEqualTo(first.only());
            assertThat(third.only()).isEqualTo(first.only());
            assertThat(transport.started).hasSize(3);
        }
    }

    @Nested
    class ConfigurationChanges {
        /**
         * Guards against task starts after contract expiry, and against stopping a job whose tasks have all started.
         */
        @Test
        void earlierExpiryFailsOnlyJobsWithWaitingTasks() throws Exception {
            Caller started = submit(10, false);
            Caller waiting = submit(10, false);
            fixture.configure(fixture.wallClock.now, DispatcherFixture.S1, DispatcherFixture.S2);
            assertFailed(waiting, ErrorKind.CONTRACT_EXPIRED_RUNNING, new JobCounts(0, 0, 0, 0, 6, 4));
            transport.answerAll(Outcome.DONE);
            assertThat(started.only().state()).isEqualTo(JobState.COMPLETE);
            assertRefused(DispatcherFixture.job(1, false), ErrorKind.CONTRACT_EXPIRED);
        }

        /** Guards against a task that is retried, and thus started, after contract expiry. */
        @Test
        void noRetryAfterContractExpiry() throws Exception {
            Caller caller = submit(1, false);
            fixture.configure(fixture.wallClock.now, DispatcherFixture.S1, DispatcherFixture.S2);
            transport.answerOldest(Outcome.NOT_SENT);
            assertFailed(caller, ErrorKind.CONTRACT_EXPIRED, new JobCounts(0, 0, 0, 0, 0, 1));
        }

        /**
         * Guards against a job that waits although no eligible server remains, and against reporting "not run" for a
         * started job.
         */
        @Test
        void unstartedJobFailsWithoutEligibleServer() throws Exception {
            Caller started = submit(20, false);
            Caller notStarted = submit(5, false);
            dispatcher.setLeaving(Set.of(DispatcherFixture.S1, DispatcherFixture.S2));
            assertFailed(notStarted, ErrorKind.NO_ELIGIBLE_SERVER, new JobCounts(0, 0, 0, 0, 0, 5));
            assertRefused(DispatcherFixture.job(1, false), ErrorKind.NO_ELIGIBLE_SERVER);
            transport.answerAll(Outcome.DONE);
            assertThat(started.answers).isEmpty();
            fixture.advanceMillis(DispatcherFixture.PROMISE_MILLIS);
            assertFailed(started, ErrorKind.DEADLINE_EXCEEDED, new JobCounts(0, 0, 16, 0, 0, 4));
        }

        /** Guards against a return to an older configuration. */
        @Test
        void olderConfigurationIsIgnored() throws Exception {
            dispatcher.configure(ConfigState.EMPTY);
            submit(1, false);
            assertThat(transport.started).hasSize(1);
        }
    }

    @Nested
    class Admission {
        /** Guards against accepting jobs without a valid contract or beyond its limits. */
        @Test
        void refusesJobsOutsideTheContract() throws Exception {
            JobRequest job = DispatcherFixture.job(1, false);
            assertRefused(new JobRequest(new BatchId("none"), job.tasks(), 0), ErrorKind.UNKNOWN_BATCH);
            assertRefused(new JobRequest(job.batch(), job.tasks(), 1_001), ErrorKind.INVALID_JOB);
            DispatcherFixture unconfigured = new DispatcherFixture();
            assertThrowsKind(unconfigured::reserve, ErrorKind.NOT_CONFIGURED);
        }

        /** Guards against accepting jobs beyond the quota of a team. */
        @Test
        void refusesAboveQuota() throws Exception {
            fixture.setQuota(1_000, 30);
            submit(20, false);
            assertRefused(DispatcherFixture.job(11, false), ErrorKind.QUOTA_EXCEEDED);
            submit(10, false);
            fixture.setQuota(10, 2_000);
            assertRefused(DispatcherFixture.job(30, false), ErrorKind.QUOTA_EXCEEDED);
        }

        /** Guards against task starts above the rate limit of a team. */
        @Test
        void startRateLimitDelaysStarts() throws Exception {
            fixture.setQuota(10, 2_000);
            submit(15, true);
            assertThat(transport.started).hasSize(10);
            fixture.advanceMillis(200);
            assertThat(transport.started).hasSize(12);
        }

        /**
         * Guards against unbounded queue growth. The only active class has all 16 slots, which serve 160 tasks/s of
         * 100 ms.
         */
        @Test
        void refusesWhenTheClassWaitExceedsTheLimit() throws Exception {
            submit(16 + 320, true);
            submit(1, true);
            assertRefused(DispatcherFixture.job(1, true), ErrorKind.OVERLOADED);
        }

        /**
         * Guards against admission at the rate of the whole host. The class has 30% of the 80% that active classes
         * share, which is 6 of the 16 slots or 60 tasks/s.
         */
        @Test
        void usesTheClassShareWhileAnotherClassIsActive() throws Exception {
            fixture.setOtherUrgency(UrgencyClass.URGENT);
            fixture.configureDefault();
            submitOther();
            submit(15 + 120, true);
            submit(1, true);
            assertRefused(DispatcherFixture.job(1, true), ErrorKind.OVERLOADED);
        }

        /** Guards against refusing jobs of one team because another team overloads the class. */
        @Test
        void refusesOnlyTheTeamThatOverloadsTheClass() throws Exception {
            submit(500, true);
            assertRefused(DispatcherFixture.job(1, true), ErrorKind.OVERLOADED);
            assertThat(dispatcher
                            .status(DispatcherFixture.OTHER_TEAM, submitOther())
                            .state())
                    .isEqualTo(JobState.RUNNING);
        }

        /** Submits a job with one task for the other team. */
        private JobId submitOther() throws Exception {
            JobId id = dispatcher.reserve(DispatcherFixture.OTHER_TEAM, 1).get(0);
            JobRequest job = new JobRequest(
                    DispatcherFixture.OTHER_BATCH,
                    DispatcherFixture.job(1, true).tasks(),
                    0);
            dispatcher.submit(new Submission(DispatcherFixture.OTHER_TEAM, id, job, HashCode.fromInt(1)), answer -> {});
            return id;
        }

        /** Guards against accepting a job that cannot meet its deadline. */
        @Test
        void refusesWhenTheWaitExceedsThePromise() throws Exception {
            submit(90, true);
            transport.answerOldest(Outcome.DONE);
            JobRequest job = DispatcherFixture.job(1, true);
            assertRefused(new JobRequest(job.batch(), job.tasks(), 4), ErrorKind.OVERLOADED);
            fixture.submit(fixture.reserve(), new JobRequest(job.batch(), job.tasks(), 6));
        }
    }

    @Nested
    class Draining {
        /** Guards against interrupting running jobs or accepting new ones while the process is draining. */
        @Test
        void finishesAndArchivesRunningJobs() throws Exception {
            List<String> idle = new ArrayList<>();
            JobId unused = fixture.reserve();
            JobId id = fixture.reserve();
            Caller caller = fixture.submit(id, DispatcherFixture.job(20, false));
            assertThatThrownBy(dispatcher::archive).isInstanceOf(IllegalStateException.class);
            dispatcher.drain(() -> idle.add("idle"));
            assertThrowsKind(fixture::reserve, ErrorKind.DRAINING);
            assertThrowsKind(() -> fixture.submit(unused, DispatcherFixture.job(1, false)), ErrorKind.DRAINING);
            Caller attached = fixture.submit(id, DispatcherFixture.job(20, false));
            assertThat(idle).isEmpty();
            transport.answerAll(Outcome.DONE);
            assertThat(idle).containsExactly("idle");
            assertThat(attached.only()).isEqualTo(caller.only());
            assertThat(dispatcher.archive().entries())
                    .extracting(JobArchive.Entry::answer)
                    .containsExactly(caller.only());
        }
    }
}
