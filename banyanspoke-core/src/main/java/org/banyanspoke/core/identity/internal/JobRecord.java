package org.banyanspoke.core.identity.internal;

import com.google.common.hash.HashCode;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;

/** Record of a used job id. */
final class JobRecord {
    final JobId jobId;
    final TeamId team;
    final HashCode bodyDigest;
    /** Null while the job runs. */
    JobAnswer answer;
    /** Whether the final answer is retained with all its results. */
    boolean answerKept;
    /** Whether the job has ended and its answer has not yet been dropped by the time or size limit. */
    boolean retained;

    long endedNanos;
    long answerBytes;

    JobRecord(JobId jobId, TeamId team, HashCode bodyDigest) {
        this.jobId = jobId;
        this.team = team;
        this.bodyDigest = bodyDigest;
    }

    boolean isRunning() {
        return answer == null;
    }

    void finish(JobAnswer finalAnswer, long nowNanos) {
        answer = finalAnswer;
        answerKept = true;
        retained = true;
        endedNanos = nowNanos;
        answerBytes = AnswerSizes.bytes(finalAnswer);
    }

    /** Drops the results. Keeps a failure, which is small, because its error kind must not change. */
    void discardResults() {
        retained = false;
        if (answer.state() == JobState.COMPLETE) {
            answer = AnswerSizes.withoutResults(answer);
            answerKept = false;
        }
    }
}
