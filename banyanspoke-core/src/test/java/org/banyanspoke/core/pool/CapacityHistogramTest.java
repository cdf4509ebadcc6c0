package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against free capacity that counts for tasks which fit on no server, and against full-looking pools with room. */
class CapacityHistogramTest {
    private static long exactSlots(int[] free, int cpuMillicores) {
        return Arrays.stream(free).mapToLong(each -> each / cpuMillicores).sum();
    }

    private static int[] repeat(int value, int servers) {
        int[] values = new int[servers];
        Arrays.fill(values, value);
        return values;
    }

    private static int[] join(int[]... parts) {
        return Arrays.stream(parts).flatMapToInt(Arrays::stream).toArray();
    }

    @Test
    void fragmentsAddUpToNoSlot() {
        CapacityHistogram free = CapacityHistogram.of(repeat(28_000, 40));
        assertThat(free.slots(32_000)).isZero();
        assertThat(free.slots(28_000)).isEqualTo(40);
        assertThat(free.slots(14_000)).isEqualTo(80);
    }

    @Test
    void noServersHaveNoSlots() {
        assertThat(CapacityHistogram.EMPTY.slots(1)).isZero();
        assertThat(CapacityHistogram.of().isEmpty()).isTrue();
    }

    /** A size of 0 is refused elsewhere; here it must not end the report with an exception. */
    @Test
    void aTaskWithoutProcessorShareCountsAsTheSmallestOne() {
        assertThat(CapacityHistogram.of(2_000).slots(0)).isEqualTo(2_000);
    }

    @Test
    void histogramsAreEqualByTheirSteps() {
        CapacityHistogram histogram = CapacityHistogram.of(3, 1, 3);
        assertThat(histogram.steps())
                .containsExactly(new CapacityHistogram.Step(1, 1), new CapacityHistogram.Step(3, 2));
        assertThat(new CapacityHistogram(histogram.steps()))
                .isEqualTo(histogram)
                .hasSameHashCodeAs(histogram);
    }

    @Nested
    class InAMessage {
        /** Two tasks of 6.8 cores on 16 leave 2.4; the step bounds must not cut off the server with room for one more. */
        @Test
        void taskOfSixPointEightCoresOfSixteenKeepsItsExactSlots() {
            int[] free = join(repeat(2_400, 20), repeat(9_200, 9), repeat(16_000, 4), repeat(24_000, 5));
            FreeRoom room = new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(free)).compact();
            assertThat(room.freeSlots(6_800)).isEqualTo(exactSlots(free, 6_800));
        }

        @Test
        void tasksOfOneSizeOnEqualServersKeepTheirExactSlots() {
            for (int capacity : new int[] {16_000, 24_000, 64_000, 96_000}) {
                for (int size = capacity / 11; size <= capacity; size += 100) {
                    int[] free = new int[50];
                    for (int i = 0; i < free.length; i++) {
                        free[i] = capacity - size * (i % (capacity / size + 1));
                    }
                    FreeRoom room = new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(free)).compact();
                    assertThat(room.freeSlots(size)).isEqualTo(exactSlots(free, size));
                }
            }
        }

        /** Servers of 64 and 96 cores that run tasks of 26 to 48 cores have a different free capacity each. */
        @Test
        void tasksOfTwentySixToFortyEightCoresKeepMostOfTheirSlots() {
            Random random = new Random(20_261_206);
            long exact = 0;
            long compact = 0;
            for (int round = 0; round < 200; round++) {
                int[] free = fragmentedServers(random, 117);
                FreeRoom room = new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(free)).compact();
                for (int size = 26_000; size <= 48_000; size += 500) {
                    long slots = room.freeSlots(size);
                    assertThat(slots).isLessThanOrEqualTo(exactSlots(free, size));
                    assertThat(slots > 0).isEqualTo(exactSlots(free, size) > 0);
                    exact += exactSlots(free, size);
                    compact += slots;
                }
            }
            assertThat((double) compact / exact).isGreaterThan(0.85);
        }

        @Test
        void hasAtMostSixteenSteps() {
            int[] free = new int[117];
            Arrays.setAll(free, i -> 500 * i);
            FreeRoom room = new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(free)).compact();
            assertThat(room.free().steps().size() + room.total().steps().size()).isLessThanOrEqualTo(16);
            assertThat(room.free().steps().stream()
                            .mapToInt(CapacityHistogram.Step::servers)
                            .sum())
                    .isEqualTo(117);
        }

        /** With a single server that has room, merged steps must not hide it. */
        @Test
        void theOnlyServerWithRoomKeepsItsSlot() {
            List<Integer> values = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                values.add(100 * i);
            }
            values.add(26_100);
            int[] free = values.stream().mapToInt(Integer::intValue).toArray();
            assertThat(CapacityHistogram.of(free).compact(2).slots(26_100)).isEqualTo(1);
        }

        private int[] fragmentedServers(Random random, int servers) {
            int[] free = new int[servers];
            for (int i = 0; i < servers; i++) {
                free[i] = random.nextBoolean() ? 64_000 : 96_000;
                while (random.nextInt(4) > 0) {
                    int size = 26_000 + random.nextInt(22_001);
                    if (size > free[i]) {
                        break;
                    }
                    free[i] -= size;
                }
            }
            return free;
        }
    }
}
