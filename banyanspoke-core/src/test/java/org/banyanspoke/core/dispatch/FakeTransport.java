package org.banyanspoke.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;

/** Records attempts and completes them on request of the test. */
final class FakeTransport implements TaskTransport {
    final List<TaskAttempt> started = new ArrayList<>();
    final List<TaskAttempt> stopped = new ArrayList<>();
    final Map<TaskAttempt, Consumer<AttemptResult>> open = new LinkedHashMap<>();

    @Override
    public void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd) {
        started.add(attempt);
        open.put(attempt, onEnd);
    }

    @Override
    public void stop(TaskAttempt attempt) {
        stopped.add(attempt);
    }

    void answer(TaskAttempt attempt, Outcome outcome) {
        open.remove(attempt).accept(result(attempt, outcome));
    }

    void answerOldest(Outcome outcome) {
        answer(oldest(), outcome);
    }

    TaskAttempt oldest() {
        return open.keySet().iterator().next();
    }

    void answerAll(Outcome outcome) {
        while (!open.isEmpty()) {
            answerOldest(outcome);
        }
    }

    static AttemptResult result(TaskAttempt attempt, Outcome outcome) {
        String text = outcome == Outcome.DONE ? resultText(attempt) : outcome.toString();
        return new AttemptResult(outcome, text, 1_000_000, null, false, null);
    }

    static String resultText(TaskAttempt attempt) {
        return "result of " + attempt.task().id() + " in attempt " + attempt.attemptId();
    }
}
