package org.banyanspoke.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.DispatcherFixture.Caller;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private final DispatcherFixture fixture = DispatcherFixture.configured();
    private final FakeTransport transport = fixture.transport;

    @Nested
    class CompleteJobs {
        /** Guards against results that are lost or out of order when there are more tasks than slots. */
        @Test
        void answerHasAllResultsInOrder() throws Exception {
            Caller caller = fixture.submit(fixture.reserve(), DispatcherFixture.job(50, false));
            transport.answerAll(Outcome.DONE);
            JobAnswer answer = caller.only();
            assertThat(answer.state()).isEqualTo(JobState.COMPLETE);
            assertThat(answer.tasks()).hasSize(50);
            assertThat(answer.tasks().get(49).result()).startsWith("result of t49 ");
            assertThat(transport.started).hasSize(50);
        }
    }
}
