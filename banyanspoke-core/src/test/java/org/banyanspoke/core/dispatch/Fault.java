package org.banyanspoke.core.dispatch;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;

/** Fault that is injected to verify that a check of {@link History} detects it. */
enum Fault {
    NONE,
    SENDS_TWICE,
    MOVES_UNKNOWN,
    NEVER_STOPS,
    DROPS_LATE_RESULTS,
    STARTS_REFUSED,
    LOSES_ANSWER,
    REPEATS_ANSWER,
    LOSES_RESULT,
    IGNORES_LEAVING,
    IGNORES_CONTRACT,
    IGNORES_END,
    FORGETS_WRITTEN,
    MIXES_ANSWERS;

    /** Wraps the transport that the dispatcher uses, to inject this fault. */
    TaskTransport wrap(TaskTransport real) {
        return new TaskTransport() {
            private final Set<TaskAttempt> stopped = new HashSet<>();
            private TaskAttempt endedAttempt;

            @Override
            public void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd) {
                real.start(attempt, result -> {
                    if (Fault.this != DROPS_LATE_RESULTS || !stopped.contains(attempt)) {
                        onEnd.accept(distort(result));
                    }
                });
                if (Fault.this == SENDS_TWICE) {
                    real.start(copy(attempt), result -> {});
                }
                if (Fault.this == IGNORES_END && endedAttempt != null) {
                    real.start(copy(endedAttempt), result -> {});
                }
            }

            @Override
            public void stop(TaskAttempt attempt) {
                endedAttempt = attempt;
                stopped.add(attempt);
                if (Fault.this != NEVER_STOPS) {
                    real.stop(attempt);
                }
            }
        };
    }

    private AttemptResult distort(AttemptResult result) {
        boolean hidesUnknown = this == MOVES_UNKNOWN && result.outcome() == Outcome.UNKNOWN;
        return hidesUnknown ? new AttemptResult(Outcome.NOT_SENT, "", 1, null, false, null) : result;
    }

    private static TaskAttempt copy(TaskAttempt attempt) {
        return new TaskAttempt(
                -attempt.attemptId(), attempt.job(), attempt.task(), attempt.server(), attempt.leaseMillis());
    }

    /** Wraps the dispatcher that the test calls, to inject this fault. */
    Dispatcher wrap(Dispatcher real, TaskTransport transport) {
        AtomicInteger answersGiven = new AtomicInteger();
        return (Dispatcher) Proxy.newProxyInstance(
                Dispatcher.class.getClassLoader(), new Class<?>[] {Dispatcher.class}, (proxy, method, args) -> {
                    if (this == IGNORES_LEAVING && method.getName().equals("setLeaving")) {
                        return null;
                    }
                    if (method.getName().equals("submit")) {
                        submit(real, transport, (Submission) args[0], args[1], answersGiven);
                        return null;
                    }
                    try {
                        return method.invoke(real, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @SuppressWarnings("unchecked")
    private void submit(
            Dispatcher real, TaskTransport transport, Submission submission, Object onEnd, AtomicInteger given)
            throws Exception {
        try {
            real.submit(submission, answer -> deliver(answer, (Consumer<JobAnswer>) onEnd, given));
        } catch (RefusedException e) {
            if (this == STARTS_REFUSED) {
                ServerId server = DispatcherFixture.S1;
                transport.start(
                        new TaskAttempt(
                                -1,
                                submission.jobId(),
                                submission.request().tasks().get(0),
                                server,
                                1),
                        result -> {});
            }
            throw e;
        }
    }

    private void deliver(JobAnswer answer, Consumer<JobAnswer> onEnd, AtomicInteger given) {
        if (this == LOSES_ANSWER) {
            return;
        }
        onEnd.accept(distort(answer, given.getAndIncrement()));
        if (this == REPEATS_ANSWER) {
            onEnd.accept(answer);
        }
    }

    private JobAnswer distort(JobAnswer answer, int given) {
        return switch (this) {
            case LOSES_RESULT -> withoutLastResult(answer);
            case FORGETS_WRITTEN -> withError(answer, ErrorKind.NO_ELIGIBLE_SERVER);
            case MIXES_ANSWERS -> withError(answer, ErrorKind.values()[given % 3]);
            default -> answer;
        };
    }

    private static JobAnswer withError(JobAnswer answer, ErrorKind kind) {
        ErrorBody error = new ErrorBody(kind, kind.execution(), "");
        return new JobAnswer(answer.jobId(), answer.state(), error, answer.counts(), answer.tasks());
    }

    private static JobAnswer withoutLastResult(JobAnswer answer) {
        JobCounts counts = answer.counts();
        int kept = Math.max(0, answer.tasks().size() - 1);
        return new JobAnswer(
                answer.jobId(),
                answer.state(),
                answer.error(),
                counts,
                List.copyOf(answer.tasks().subList(0, kept)));
    }
}
