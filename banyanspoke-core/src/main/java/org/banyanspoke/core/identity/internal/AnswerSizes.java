package org.banyanspoke.core.identity.internal;

import java.util.List;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.TaskAnswer;

/** Approximate heap sizes of answers. */
public final class AnswerSizes {
    /** Heap size of an answer with its counts and error, in bytes; an upper bound estimated from the field layouts. */
    private static final long ANSWER_BYTES = 512;

    /** Heap size of one task's answer without the text of the result, in bytes. */
    private static final long TASK_BYTES = 96;

    private AnswerSizes() {}

    /** Returns the approximate heap size of an answer, in bytes. */
    public static long bytes(JobAnswer answer) {
        long bytes = ANSWER_BYTES;
        for (TaskAnswer task : answer.tasks()) {
            bytes += TASK_BYTES + (task.result() == null ? 0 : task.result().length());
        }
        return bytes;
    }

    /** Returns a copy of the answer with its state, error and counts only. */
    public static JobAnswer withoutResults(JobAnswer answer) {
        return new JobAnswer(answer.jobId(), answer.state(), answer.error(), answer.counts(), List.of());
    }
}
