package org.banyanspoke.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.DispatcherFixture.Caller;
import org.banyanspoke.core.dispatch.DispatcherFixture.Policy;

/** Runs a dispatcher through a sequence of steps and records the history. */
final class DispatcherDriver {
    enum Kind {
        SUBMIT,
        RESUBMIT,
        CONFLICT,
        CANCEL,
        ANSWER,
        ANSWER_MANY,
        ADVANCE,
        PAUSE,
        CONTRACT,
        LEAVE,
        QUOTA,
        GENERATION
    }

    /** Step of a test run; {@code n} determines its parameters. */
    record Step(Kind kind, int n) {}

    final History history = new History();
    private final DispatcherFixture fixture;
    private final Dispatcher dispatcher;
    private final Set<ServerId> leaving = new HashSet<>();
    private final Set<JobId> ended = new HashSet<>();
    private final List<JobId> submitted = new ArrayList<>();
    private Instant contractExpiry = DispatcherFixture.START.plus(Duration.ofDays(1));

    DispatcherDriver(Policy policy, Fault fault) {
        fixture = new DispatcherFixture(policy, fault, this::record);
        dispatcher = fault.wrap(fixture.dispatcher, fixture.recordingTransport);
        fixture.configure(contractExpiry, DispatcherFixture.S1, DispatcherFixture.S2);
        fixture.setQuota(300, 60);
    }

    private void record(TaskAttempt attempt) {
        history.starts.add(new History.Start(
                attempt,
                fixture.nanos,
                fixture.wallClock.now,
                contractExpiry,
                leaving.contains(attempt.server()),
                ended.contains(attempt.job())));
    }

    /** Runs the steps, then continues until every job has ended, and returns the violations found. */
    List<History.Violation> run(List<Step> steps) throws Exception {
        for (Step step : steps) {
            run(step);
        }
        finishAllJobs();
        history.stopped.addAll(fixture.transport.stopped);
        return history.check(dispatcher.stats());
    }

    private void run(Step step) throws Exception {
        int n = step.n();
        switch (step.kind()) {
            case SUBMIT -> submitNew(1 + n % 20, n % 2 == 0);
            case RESUBMIT -> resubmit(n, true);
            case CONFLICT -> resubmit(n, false);
            case CANCEL -> cancel(n);
            case ANSWER -> answer(n);
            case ANSWER_MANY -> answerMany(n);
            case ADVANCE -> fixture.advanceMillis(1 + n % 50);
            case PAUSE -> fixture.pauseMillis(n % 1_500);
            case CONTRACT -> changeContract(n);
            case LEAVE -> changeLeaving(n);
            case QUOTA -> fixture.setQuota(n % 500, n % 90);
            case GENERATION -> fixture.advanceMillis(30_000L * (n % 13));
        }
    }

    private void submitNew(int tasks, boolean idempotent) throws Exception {
        submit(fixture.reserve(), DispatcherFixture.job(tasks, idempotent));
    }

    private void resubmit(int n, boolean sameBody) {
        if (history.calls.isEmpty()) {
            return;
        }
        int age = n % Math.min(8, history.calls.size());
        History.Call earlier = history.calls.get(history.calls.size() - 1 - age);
        JobRequest request = sameBody ? earlier.request() : DispatcherFixture.job(1, true);
        submit(earlier.job(), request);
    }

    private void submit(JobId job, JobRequest request) {
        Caller caller = new Caller();
        Consumer<JobAnswer> onEnd = answer -> {
            onFirstAnswer(job);
            caller.accept(answer);
        };
        long nowNanos = fixture.nanos;
        submitted.add(job);
        ErrorKind error = null;
        try {
            dispatcher.submit(DispatcherFixture.submission(job, request), onEnd);
        } catch (DispatchException e) {
            error = e.kind();
        }
        history.calls.add(new History.Call(job, request, caller, nowNanos, error));
    }

    private void onFirstAnswer(JobId job) {
        if (ended.add(job)) {
            fixture.transport.open.keySet().stream()
                    .filter(attempt -> attempt.job().equals(job) && attempt.attemptId() > 0)
                    .forEach(history.openAtEnd::add);
        }
    }

    private void cancel(int n) {
        if (submitted.isEmpty()) {
            return;
        }
        try {
            int age = n % Math.min(8, submitted.size());
            dispatcher.cancel(DispatcherFixture.TEAM, submitted.get(submitted.size() - 1 - age));
        } catch (DispatchException e) {
            // The job was refused, or its answer is no longer retained.
        }
    }

    /** Ends an attempt. Three of four results are {@code DONE}; the rest cover all outcomes. */
    private void answer(int n) {
        List<TaskAttempt> open = List.copyOf(fixture.transport.open.keySet());
        if (!open.isEmpty()) {
            Outcome[] outcomes = Outcome.values();
            Outcome outcome = n % 4 > 0 ? Outcome.DONE : outcomes[(n / 4) % outcomes.length];
            answer(open.get((n / 32) % open.size()), outcome);
        }
    }

    private void answerMany(int n) {
        for (int i = 0; i < n % 30; i++) {
            if (!fixture.transport.open.isEmpty()) {
                answer(fixture.transport.oldest(), Outcome.DONE);
            }
        }
    }

    private void answer(TaskAttempt attempt, Outcome outcome) {
        history.outcomes.put(attempt, outcome);
        fixture.transport.answer(attempt, outcome);
    }

    private void changeContract(int n) {
        contractExpiry = fixture.wallClock.now.plusMillis(n % 3 == 0 ? n % 400 : 86_400_000);
        fixture.configure(contractExpiry, DispatcherFixture.S1, DispatcherFixture.S2);
    }

    private void changeLeaving(int n) {
        leaving.clear();
        if (n % 4 == 1 || n % 8 == 3) {
            leaving.add(DispatcherFixture.S1);
        }
        if (n % 8 == 3 || n % 4 == 2) {
            leaving.add(DispatcherFixture.S2);
        }
        dispatcher.setLeaving(leaving);
    }

    private void finishAllJobs() {
        for (int i = 0; i < 300; i++) {
            fixture.advanceMillis(10);
            answerMany(29);
        }
    }
}
