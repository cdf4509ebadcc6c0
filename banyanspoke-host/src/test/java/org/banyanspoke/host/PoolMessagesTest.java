package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.PoolJobCancel;
import org.banyanspoke.peer.generated.PoolJobReply;
import org.junit.jupiter.api.Test;

/** Guards against fields that are lost in encoding or decoding. */
class PoolMessagesTest {
    @Test
    void jobSurvivesRoundTrip() {
        PooledJob job = new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 2, 3, 1.6, 60),
                "payload",
                8,
                new TaskRequirements(6_800, 64, 1, 100, "label", "rack", 2),
                12,
                1_500);
        assertThat(PoolMessages.decode(PoolMessages.encode(job, 0))).isEqualTo(job);
    }

    @Test
    void hostStateSurvivesRoundTrip() {
        HostState state = new HostState(
                new HostId("h"),
                new ZoneId("a"),
                3,
                1_500,
                true,
                9,
                Set.of(new ServerId("s1")),
                new PoolLoad(4, 3, 2, 1, 7, 8));
        assertThat(PoolMessages.decode(PoolMessages.encode(state, 0))).isEqualTo(state);
    }

    @Test
    void everyOutcomeSurvivesRoundTrip() {
        for (JobOutcome.Kind kind : JobOutcome.Kind.values()) {
            JobOutcome outcome = new JobOutcome(kind, "reason", 7, kind == JobOutcome.Kind.REFUSED);
            assertThat(PoolMessages.decode(PoolMessages.encode(outcome))).isEqualTo(outcome);
        }
    }

    /** The caller of such a job was told that it had completed. */
    @Test
    void aReplyOfAnotherTypeIsNotAnOutcome() {
        Frame other = Frame.newBuilder()
                .setPoolJobCancel(PoolJobCancel.getDefaultInstance())
                .build();
        assertThatThrownBy(() -> PoolMessages.decodeOutcome(other)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> PoolMessages.decodeOutcome(Frame.getDefaultInstance()))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void anUnknownOutcomeIsRejected() {
        Frame unknown = Frame.newBuilder()
                .setPoolJobReply(PoolJobReply.newBuilder().setOutcomeValue(77))
                .build();
        assertThatThrownBy(() -> PoolMessages.decodeOutcome(unknown)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void clockReadingsAreCarried() {
        HostState state = new HostState(new HostId("h"), new ZoneId("a"), 3, 1_500, false, 0, Set.of(), PoolLoad.NONE);
        assertThat(PoolMessages.encode(state, 1_234_567).getSentMillis()).isEqualTo(1_234_567);
        PooledJob job = new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 2, 3, 1.6, 60),
                "payload",
                8,
                new TaskRequirements(6_800, 64, 1, 100, "label", "rack", 2),
                12,
                1_500);
        assertThat(PoolMessages.encode(job, 1_234_567).getDispatcherMillis()).isEqualTo(1_234_567);
    }

    @Test
    void checkOfJobsSurvivesRoundTrip() {
        Set<CallerJobId> jobs = Set.of(new CallerJobId("00000000000000aa"), new CallerJobId("00000000000000bb"));
        Frame frame =
                Frame.newBuilder().setPoolJobCheck(PoolMessages.encode(jobs)).build();
        assertThat(PoolMessages.decodeCheck(frame)).isEqualTo(jobs);
    }

    /** Such a reply would name no job, so all jobs of the host would be cancelled. */
    @Test
    void aReplyOfAnotherTypeIsNotACheck() {
        assertThatThrownBy(() -> PoolMessages.decodeCheck(Frame.getDefaultInstance()))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
