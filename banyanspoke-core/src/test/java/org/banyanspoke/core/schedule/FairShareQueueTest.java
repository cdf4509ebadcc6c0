package org.banyanspoke.core.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.TaskSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FairShareQueueTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private long nowNanos = Long.MAX_VALUE - 5 * NANOS_PER_MILLI;
    private final TaskQueue queue = TaskQueues.fairShare(() -> nowNanos);

    private QueuedTask task(long job, int index, UrgencyClass urgency, String team, int weight, long deadlineMillis) {
        JobId jobId = new JobId(new HostId("h"), "127.0.0.1:1", new Incarnation(1), 0, job, 0);
        BatchConfig batch = new BatchConfig(
                new BatchId(team + "." + urgency), new TeamId(team), urgency, Instant.MAX, 1, Set.of(), Set.of());
        TaskSpec spec = new TaskSpec(new TaskId("t" + index), "", 100, true);
        return new QueuedTask(jobId, index, spec, batch, weight, nowNanos + deadlineMillis * NANOS_PER_MILLI, nowNanos);
    }

    private QueuedTask poll() {
        return queue.poll((task, access) -> true).orElseThrow();
    }

    /** Simulates a host with 40 slots and tasks of 100 ms for the given time, and counts the ended tasks by batch. */
    private Map<BatchId, Integer> serve(int millis) {
        Map<BatchId, Integer> ended = new HashMap<>();
        Deque<QueuedTask> running = new ArrayDeque<>();
        Deque<Long> ends = new ArrayDeque<>();
        for (int i = 0; i < millis; i++) {
            nowNanos += NANOS_PER_MILLI;
            while (!ends.isEmpty() && ends.getFirst() - nowNanos <= 0) {
                ends.removeFirst();
                QueuedTask task = running.removeFirst();
                queue.onEnded(task, 100 * NANOS_PER_MILLI);
                ended.merge(task.batch().id(), 1, Integer::sum);
            }
            while (running.size() < 40) {
                QueuedTask task = queue.poll((any, access) -> true).orElse(null);
                if (task == null) {
                    break;
                }
                queue.onSent(task);
                running.add(task);
                ends.add(nowNanos + 100 * NANOS_PER_MILLI);
            }
        }
        return ended;
    }

    @Nested
    class Order {
        /** Guards against serving urgent tasks after other tasks, and a late deadline before an earlier one. */
        @Test
        void ordersByClassThenDeadline() {
            queue.add(task(1, 0, UrgencyClass.BACKGROUND, "a", 1, 10));
            queue.add(task(2, 0, UrgencyClass.URGENT, "a", 1, 90));
            queue.add(task(3, 0, UrgencyClass.URGENT, "a", 1, 50));
            assertThat(List.of(
                            poll().job().sequence(),
                            poll().job().sequence(),
                            poll().job().sequence()))
                    .containsExactly(3L, 2L, 1L);
        }

        /** Guards against a batch without free servers that blocks other batches. */
        @Test
        void skipsBatchThatCannotBeSent() {
            queue.add(task(1, 0, UrgencyClass.URGENT, "a", 1, 10));
            queue.add(task(2, 0, UrgencyClass.NORMAL, "b", 1, 90));
            assertThat(queue.poll((task, access) -> task.batch().urgency() != UrgencyClass.URGENT))
                    .map(task -> task.job().sequence())
                    .contains(2L);
            assertThat(queue.size(UrgencyClass.URGENT)).isEqualTo(1);
        }

        /** Guards against overloads that use the reserved slots, and against bursts that are treated as overloads. */
        @Test
        void onlyOverloadLeavesReservedSlots() {
            for (int i = 0; i < 40; i++) {
                queue.add(task(1, i, UrgencyClass.URGENT, "overload", 1, 90));
                if (i < 20) {
                    queue.add(task(2, i, UrgencyClass.URGENT, "burst", 1, 90));
                }
            }
            nowNanos += 2_000 * NANOS_PER_MILLI;
            Map<String, SlotAccess> accessByTeam = new HashMap<>();
            queue.poll((task, access) -> {
                accessByTeam.put(task.batch().team().value(), access);
                return false;
            });
            assertThat(accessByTeam)
                    .isEqualTo(Map.of("overload", SlotAccess.UNRESERVED_SLOTS, "burst", SlotAccess.ALL_SLOTS));
        }

        /** Guards against a task that loses its position after it is returned to the queue. */
        @Test
        void returnedTaskComesFirst() {
            for (int i = 0; i < 3; i++) {
                queue.add(task(1, i, UrgencyClass.URGENT, "a", 1, 10));
            }
            queue.add(poll());
            assertThat(poll().index()).isZero();
        }
    }

    @Nested
    class Fairness {
        private void fill(UrgencyClass urgency, String team, int weight, int tasks) {
            for (int i = 0; i < tasks; i++) {
                queue.add(task(team.hashCode() * 10L + urgency.ordinal(), i, urgency, team, weight, 600_000));
            }
        }

        /**
         * Guards against starvation when all classes are overloaded from the start. The guaranteed shares are 50, 30
         * and 20%.
         */
        @Test
        void sustainedOverloadFollowsTheGuaranteedShares() {
            for (UrgencyClass urgency : UrgencyClass.values()) {
                fill(urgency, "a", 1, 20_000);
            }
            serve(10_000);
            Map<BatchId, Integer> ended = serve(20_000);
            // 20 s at 400 tasks/s, less 10% for tasks in flight at both ends of the interval and for the rounding to
            // whole slots.
            assertThat(ended.get(new BatchId("a.URGENT"))).isGreaterThan(3_600);
            assertThat(ended.get(new BatchId("a.NORMAL"))).isGreaterThan(2_160);
            assertThat(ended.get(new BatchId("a.BACKGROUND"))).isGreaterThan(1_440);
        }

        /** Guards against starvation of a team with a low weight by one with a high weight in the same class. */
        @Test
        void teamsShareByWeight() {
            fill(UrgencyClass.NORMAL, "a", 1, 20_000);
            fill(UrgencyClass.NORMAL, "b", 3, 20_000);
            serve(10_000);
            Map<BatchId, Integer> ended = serve(20_000);
            assertThat(ended.get(new BatchId("a.NORMAL"))).isGreaterThan(1_800);
            assertThat(ended.get(new BatchId("b.NORMAL"))).isGreaterThan(5_400);
        }
    }

    @Group
    class Accounting {
        /** Guards against tasks that are lost, polled twice, or polled after their job was removed. */
        @Property(tries = 200, seed = "3")
        void everyTaskIsPolledOrRemovedOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int steps) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            TaskQueue tested = TaskQueues.fairShare(() -> nowNanos);
            Set<QueuedTask> waiting = new HashSet<>();
            List<QueuedTask> sent = new ArrayList<>();
            for (int i = 0; i < steps; i++) {
                nowNanos += random.nextInt(400) * NANOS_PER_MILLI;
                int job = random.nextInt(20);
                UrgencyClass urgency = UrgencyClass.values()[job % 3];
                QueuedTask task = task(job, i, urgency, "t" + job % 5, 1 + job % 2, job);
                switch (random.nextInt(8)) {
                    case 0 -> {
                        long removed = waiting.stream()
                                .filter(other -> other.job().equals(task.job()))
                                .count();
                        assertThat(tested.removeJob(task.job())).isEqualTo((int) removed);
                        waiting.removeIf(other -> other.job().equals(task.job()));
                    }
                    case 1, 2, 3 ->
                        tested.poll((any, access) -> random.nextBoolean()).ifPresent(polled -> {
                            assertThat(waiting.remove(polled)).isTrue();
                            tested.onSent(polled);
                            sent.add(polled);
                        });
                    case 4 -> {
                        if (!sent.isEmpty()) {
                            tested.onEnded(sent.remove(random.nextInt(sent.size())), 100 * NANOS_PER_MILLI);
                        }
                    }
                    default -> {
                        tested.add(task);
                        waiting.add(task);
                    }
                }
                checkSizes(tested, waiting);
            }
            for (int left = waiting.size(); left > 0; left--) {
                assertThat(waiting.remove(tested.poll((any, access) -> true).orElseThrow()))
                        .isTrue();
            }
            assertThat(tested.poll((any, access) -> true)).isEmpty();
        }

        private void checkSizes(TaskQueue tested, Set<QueuedTask> waiting) {
            Map<UrgencyClass, Integer> sizes = new EnumMap<>(UrgencyClass.class);
            waiting.forEach(task -> sizes.merge(task.batch().urgency(), 1, Integer::sum));
            for (UrgencyClass urgency : UrgencyClass.values()) {
                assertThat(tested.size(urgency)).isEqualTo(sizes.getOrDefault(urgency, 0));
            }
        }
    }
}
