package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.pool.CallerJobId;
import org.junit.jupiter.api.Test;

/** Guards against unbounded memory for the ids of cancelled jobs, and against a job that is refused for ever. */
class CancelledJobsTest {
    private long nowMillis = 100_000;
    private final CancelledJobs jobs = new CancelledJobs(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), 3);

    private static CallerJobId job(int number) {
        return new CallerJobId(String.format("%016x", number));
    }

    @Test
    void areKeptForFiveSeconds() {
        jobs.add(job(1));
        nowMillis += 4_999;
        assertThat(jobs.remainingMillis(job(1))).isEqualTo(1);
        nowMillis += 1;
        assertThat(jobs.remainingMillis(job(1))).isZero();
    }

    @Test
    void areKeptLongerIfTheyAreCancelledAgain() {
        jobs.add(job(1));
        nowMillis += 3_000;
        jobs.add(job(1));
        nowMillis += 3_000;
        assertThat(jobs.remainingMillis(job(1))).isEqualTo(2_000);
    }

    @Test
    void areDroppedInTheirOrderIfThereAreTooMany() {
        for (int i = 1; i <= 4; i++) {
            jobs.add(job(i));
        }
        assertThat(jobs.size()).isEqualTo(3);
        assertThat(jobs.remainingMillis(job(1))).isZero();
        assertThat(jobs.remainingMillis(job(2))).isPositive();
    }

    @Test
    void releaseTheirMemoryOnceTheyHaveExpired() {
        jobs.add(job(1));
        jobs.add(job(2));
        nowMillis += 5_000;
        jobs.add(job(3));
        assertThat(jobs.size()).isEqualTo(1);
    }
}
