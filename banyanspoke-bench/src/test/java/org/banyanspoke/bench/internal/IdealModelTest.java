package org.banyanspoke.bench.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.bench.Load;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdealModelTest {
    private static final Load LOAD = Load.steady("team", UrgencyClass.URGENT, 1, 1_000);

    private static PlannedJob job(int index, long arrivalMillis, double... runMillis) {
        return new PlannedJob(index, LOAD, arrivalMillis * 1_000_000, runMillis, new long[runMillis.length]);
    }

    private static Map<Integer, Double> ideal(List<Double> speeds, int slots, PlannedJob... jobs) {
        return new IdealModel(speeds, slots).responseNanos(List.of(jobs));
    }

    @Nested
    class Response {
        /** Guards against a response time that ends with the first task of a job. */
        @Test
        void endsWithTheLastTask() {
            assertThat(ideal(List.of(1.0), 2, job(0, 5, 30, 50))).containsEntry(0, 50e6);
        }

        /** Guards against exceeding the number of slots: the second job waits 10 ms and runs 50 ms. */
        @Test
        void includesTheWaitForASlot() {
            assertThat(ideal(List.of(1.0), 1, job(0, 0, 40), job(1, 30, 50))).containsEntry(1, 60e6);
        }

        /** Guards against a start on a slow server while a faster one is free. */
        @Test
        void usesTheFastestFreeServer() {
            Map<Integer, Double> responses = ideal(List.of(0.5, 2.0), 1, job(0, 0, 100), job(1, 1, 100));
            assertThat(responses).containsEntry(0, 50e6).containsEntry(1, 200e6);
        }

        /** Guards against a slot that is reused before its task has completed. */
        @Test
        void startsInTheOrderOfArrival() {
            Map<Integer, Double> responses = ideal(List.of(1.0), 1, job(0, 0, 10), job(1, 1, 10), job(2, 2, 10));
            assertThat(responses).containsEntry(1, 19e6).containsEntry(2, 28e6);
        }
    }
}
