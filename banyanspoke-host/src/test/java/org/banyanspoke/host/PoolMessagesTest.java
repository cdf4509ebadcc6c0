package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.CapacityHistogram;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.QueuedCapacity;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.HostStateMessage;
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
                new PoolLoad(4, 3, 2, 1, 7, 8),
                1_234);
        assertThat(PoolMessages.decode(PoolMessages.encode(state, 1_234))).isEqualTo(state);
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

    @Test
    void capacityByTaskSizeSurvivesRoundTrip() {
        PoolLoad load = new PoolLoad(
                160_000,
                28_000,
                2,
                1,
                7,
                8,
                new FreeRoom(CapacityHistogram.of(0, 28_000), CapacityHistogram.of(64_000, 96_000)),
                List.of(new QueuedCapacity(0, 64_000), new QueuedCapacity(2, 96_000)),
                36_000,
                48_000);
        assertThat(PoolMessages.decode(PoolMessages.encode(stateWith(load), 0)).load())
                .isEqualTo(load);
    }

    /** Such a peer must not look like a zone without servers. */
    @Test
    void aMessageOfAnOlderBuildHasSumsOnly() {
        PoolLoad load = new PoolLoad(160_000, 28_000, 2, 1, 7, 8);
        HostStateMessage message = PoolMessages.encode(stateWith(load), 0);
        assertThat(message.getTotalStepMillicoresCount()).isZero();
        PoolLoad decoded = PoolMessages.decode(message).load();
        assertThat(decoded.room().isKnown()).isFalse();
        assertThat(decoded.freeSlots(7_000)).isEqualTo(4);
        assertThat(decoded.queuedMillicoresBefore(0)).isEqualTo(7);
    }

    /** docs/CAPACITY.md states this bound. */
    @Test
    void capacityByTaskSizeAddsABoundedNumberOfBytes() {
        int[] free = new int[117];
        Arrays.setAll(free, i -> 96_000 - 613 * i);
        List<QueuedCapacity> queued = new ArrayList<>();
        for (int priority = 0; priority < 8; priority++) {
            queued.add(new QueuedCapacity(priority, 100_000_000));
        }
        PoolLoad sums = new PoolLoad(9_000_000, 5_000_000, 2, 1, 800_000_000, 8);
        PoolLoad load = new PoolLoad(
                9_000_000,
                5_000_000,
                2,
                1,
                800_000_000,
                8,
                new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(free)),
                queued,
                36_000,
                48_000);
        int addedBytes = PoolMessages.encode(stateWith(load), 0).getSerializedSize()
                - PoolMessages.encode(stateWith(sums), 0).getSerializedSize();
        assertThat(addedBytes).isLessThanOrEqualTo(131);
    }

    /** A message with values of another writer must not end the exchange with an exception. */
    @Test
    void stepsWithoutACounterpartAreIgnored() {
        HostStateMessage message = PoolMessages.encode(stateWith(PoolLoad.NONE), 0).toBuilder()
                .addTotalStepMillicores(64_000)
                .addQueuedPriority(1)
                .build();
        assertThat(PoolMessages.decode(message).load()).isEqualTo(PoolLoad.NONE);
    }

    private static HostState stateWith(PoolLoad load) {
        return new HostState(new HostId("h"), new ZoneId("a"), 3, 1_500, false, 9, Set.of(), load);
    }
}
