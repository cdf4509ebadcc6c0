package org.banyanspoke.core.identity.internal;

import com.google.common.hash.HashCode;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;

/** One used job id. */
final class JobRecord {
    final JobId jobId;
    final TeamId team;
    final HashCode bodyDigest;
    /** Null while the job runs. */
    JobAnswer answer;
    /** Whether the answer has all its results. */
    boolean answerKept;
    /** Whether the time for which answers are kept has not passed. */
    boolean recent;

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
        recent = true;
        endedNanos = nowNanos;
        answerBytes = AnswerSizes.bytes(finalAnswer);
    }

    /** Drops the results. A failure is small and stays, because its error kind must not change. */
    void discardResults() {
        recent = false;
        if (answer.state() == JobState.COMPLETE) {
            answer = AnswerSizes.withoutResults(answer);
            answerKept = false;
        }
    }
}
